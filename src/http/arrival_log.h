// Records when the bytes that wait to be parsed were read, so that the time of a pipelined request counts
// from its own arrival. The number of entries is bounded: reads beyond the bound are added to the last entry
// and get its time.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "base/deadlines.h"

namespace ryeglade {

// A queue of reads, each with its number of bytes and its time.
class ArrivalLog {
 public:
  static constexpr std::size_t kMaxEntries = 64;

  void Add(std::size_t bytes, Time now) {
    if (reads_.size() == kMaxEntries) {
      reads_.back().bytes += bytes;
    } else {
      reads_.push_back({bytes, now});
    }
  }

  // Removes the first `bytes` bytes, because they have been parsed.
  void Consume(std::size_t bytes) {
    while (bytes > 0 && !reads_.empty()) {
      const std::size_t n = std::min(bytes, reads_.front().bytes);
      bytes -= n;
      reads_.front().bytes -= n;
      if (reads_.front().bytes == 0) reads_.pop_front();
    }
  }

  // Returns when the next byte was read, or `now` if none is waiting.
  Time First(Time now) const { return reads_.empty() ? now : reads_.front().at; }

 private:
  // Bytes that were read at the same time.
  struct Read {
    std::size_t bytes = 0;
    Time at = 0;
  };
  std::deque<Read> reads_;
};

}  // namespace ryeglade
