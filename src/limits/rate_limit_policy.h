// Delays the replies to requests with an invalid API key. A burst is answered without delay; beyond it the
// replies are paced, so that clients that retry immediately cannot starve clients with valid keys. Performs
// no I/O and reads no clock.
#pragma once

#include "ryeglade/router.h"

namespace ryeglade::limits {

using policy::Time;  // microseconds

class InvalidKeyThrottle {
 public:
  // After `burst` replies without delay, `per_second` replies are sent per second. No delay is longer than
  // `max_delay`.
  explicit InvalidKeyThrottle(double per_second = 200, double burst = 200, Time max_delay = 2'000'000)
      : interval_(static_cast<Time>(1e6 / per_second)),
        burst_span_(static_cast<Time>(burst * 1e6 / per_second)),
        max_delay_(max_delay) {}

  // Returns the delay of the reply to a request that arrived at `now`.
  Time DelayOfNext(Time now);

 private:
  Time interval_;    // between two paced replies
  Time burst_span_;  // time in which a whole burst would be sent at the paced rate
  Time max_delay_;
  Time next_slot_ = 0;  // when the next reply would be due if no burst were allowed
};

}  // namespace ryeglade::limits
