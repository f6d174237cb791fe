// Incremental parser of server-sent events (WHATWG HTML, section 9.2.6). The input may be cut at any byte.
// Lines may end with LF, CRLF or CR, and the stream may start with a byte order mark. The content of the
// events is not interpreted.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ryeglade {

// Buffers only the block that is not complete yet.
class EventStream {
 public:
  // A block of lines that is ended by an empty line. The views are valid until the callback returns.
  struct Event {
    // The unchanged bytes of the block, including the empty line. The concatenated `raw` of all blocks is the
    // stream.
    std::string_view raw;
    std::string_view data;  // the values of the `data` lines, joined by LF
    std::string_view type;  // the value of the last `event` line; empty if there is none
    std::string_view id;    // the value of the last `id` line; empty if there is none
    // Whether there is a `data` line. A block without one (comments, an empty line, other fields only) is not
    // an event by the standard.
    bool has_data = false;
  };

  // `max_block` is the greatest number of bytes that an incomplete block may have.
  explicit EventStream(std::size_t max_block) : max_block_(max_block) {}

  // Calls `sink(const Event&)` for each block that ends in `bytes`. Returns false if the sink returned false
  // or a block exceeds the bound; after that the rest of the stream must not be fed.
  template <class Sink>
  bool Feed(std::string_view bytes, Sink&& sink) {
    if (!pending_.empty()) {
      pending_.append(bytes);
      bytes = pending_;
    }
    std::size_t used = 0;
    Event event;
    while (NextBlock(bytes.substr(used), &event)) {
      used += event.raw.size();
      const bool proceed = sink(static_cast<const Event&>(event));
      BeginBlock();
      if (!proceed) return false;
    }
    if (bytes.size() - used > max_block_) return false;
    if (!pending_.empty()) {
      pending_.erase(0, used);
    } else {
      pending_.assign(bytes.substr(used));
    }
    return true;
  }

  // The bytes of the block that is not complete yet.
  std::string_view unfinished() const { return pending_; }

 private:
  bool NextBlock(std::string_view block, Event* event);
  void ReadLine(std::string_view block, std::size_t from, std::size_t to);
  void BeginBlock();

  using Range = std::pair<std::size_t, std::size_t>;  // offset from the block's start, and length
  std::size_t max_block_;
  std::string pending_;       // the part of the current block that has been received
  std::size_t line_ = 0;      // offset of the current line's start
  std::size_t searched_ = 0;  // from the current line's start to this offset there is no line end
  std::vector<Range> data_;   // the values of the block's `data` lines
  Range type_, id_;
  std::string joined_;      // storage for Event::data of a block with several `data` lines
  bool first_line_ = true;  // the current line is the stream's first, which may start with a byte order mark
  bool skip_lf_ = false;    // the last line ended with CR, so that an LF that follows belongs to its end
};

}  // namespace ryeglade
