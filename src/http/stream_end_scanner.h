// Follows a stream of server-sent events up to the event `data: [DONE]`, which replicas send last. The input
// may be cut at any byte; only the beginning of the current line is kept.
#pragma once

#include <array>
#include <cstddef>
#include <string_view>

namespace ryeglade {

// One per stream.
class StreamEndScanner {
 public:
  void Feed(std::string_view bytes);

  bool has_event() const { return has_event_; }  // an event with data has been completed by its empty line
  bool done() const { return done_; }            // the last event of these was [DONE]
  // Data has followed [DONE], complete or not. Comments may follow it.
  bool data_after_done() const { return done_ && (block_has_data_ || LineIsData()); }

 private:
  void OnLineEnd();
  void KeepLineStart(std::string_view part);
  bool LineIsData() const;
  std::string_view line_start() const { return {line_start_.data(), line_start_size_}; }

  // Holds the longest line that is of interest, "data: [DONE]", and one byte that tells a longer line.
  std::array<char, 13> line_start_{};
  std::size_t line_start_size_ = 0;
  bool after_cr_ = false;        // the last line ended with CR: an LF that follows belongs to its end
  bool block_has_data_ = false;  // the current block has a `data` line
  bool block_is_done_ = false;   // the last `data` line of the current block is [DONE]
  bool has_event_ = false;
  bool done_ = false;
};

}  // namespace ryeglade
