// When the bytes that wait to be parsed were read, so that a request that waited behind another one counts
// from its own arrival. Bounded: of many small reads the later ones count from the first of them.
#pragma once

#include <algorithm>
#include <cstddef>
#include <deque>

#include "base/deadlines.h"

namespace ryeglade {

// A queue of reads: how many bytes, and when.
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

  // The next so many bytes are parsed.
  void Consume(std::size_t bytes) {
    while (bytes > 0 && !reads_.empty()) {
      const std::size_t n = std::min(bytes, reads_.front().bytes);
      bytes -= n;
      reads_.front().bytes -= n;
      if (reads_.front().bytes == 0) reads_.pop_front();
    }
  }

  // When the next byte came; `now` if none waits.
  Time First(Time now) const { return reads_.empty() ? now : reads_.front().at; }

 private:
  // Some bytes that came at the same time.
  struct Read {
    std::size_t bytes = 0;
    Time at = 0;
  };
  std::deque<Read> reads_;
};

}  // namespace ryeglade
