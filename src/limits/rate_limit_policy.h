// Delays the answer to requests with an invalid key. A burst is answered at once; beyond it each answer waits
// for its turn, so that clients that retry as soon as they are answered can't take the node's time from those
// with valid keys. No I/O, no clock.
#pragma once

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;  // microseconds

class InvalidKeyThrottle {
 public:
  // `per_second`: answers once the first `burst` are given. No delay is longer than `max_delay`.
  explicit InvalidKeyThrottle(double per_second = 200, double burst = 200, Time max_delay = 2'000'000)
      : interval_(static_cast<Time>(1e6 / per_second)),
        burst_span_(static_cast<Time>(burst * 1e6 / per_second)),
        max_delay_(max_delay) {}

  // How long to delay the answer to a request that came now.
  Time DelayOfNext(Time now);

 private:
  Time interval_, burst_span_, max_delay_;
  Time next_slot_ = 0;  // when the next answer would be due without the burst
};

}  // namespace ryeglade::limits
