// Server-sent events, read from bytes as they come, wherever they are cut. Line ends may be LF, CRLF or CR
// and a byte order mark may stand in front (WHATWG HTML, section 9.2.6). Knows nothing of what the events
// say.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ryeglade {

// Keeps only the block that has not ended yet.
class EventStream {
 public:
  // One block of lines, ended by an empty one. The views hold until the callback returns.
  struct Event {
    // The bytes as they came, the empty line included; all raws in a row are the stream.
    std::string_view raw;
    std::string_view data;  // of the `data` lines, joined by LF
    std::string_view type;  // of the last `event` line; empty: none
    std::string_view id;    // of the last `id` line
    // False: comments, an empty line, or fields without data: no event by the standard.
    bool has_data = false;
  };

  // `max_block` bounds one block, in bytes.
  explicit EventStream(std::size_t max_block) : max_block_(max_block) {}

  // Calls `sink(const Event&)` for each block that ends in `bytes`; a sink that returns false stops the feed.
  // False: stopped, or a block is over the bound. The rest of the stream must not be fed after that.
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

  // Bytes of a block that has not ended.
  std::string_view unfinished() const { return pending_; }

 private:
  bool NextBlock(std::string_view block, Event* event);
  void ReadLine(std::string_view block, std::size_t from, std::size_t to);
  void BeginBlock();

  using Range = std::pair<std::size_t, std::size_t>;  // from, length; from the block's start
  std::size_t max_block_;
  std::string pending_;       // the current block, as far as it has come
  std::size_t line_ = 0;      // where the current line starts
  std::size_t searched_ = 0;  // no line end before this
  std::vector<Range> data_;
  Range type_, id_;
  std::string joined_;
  bool first_line_ = true;  // of the whole stream: a byte order mark may stand there
  bool skip_lf_ = false;    // the last line ended with CR: an LF next belongs to it
};

}  // namespace ryeglade
