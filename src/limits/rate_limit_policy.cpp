#include "limits/rate_limit_policy.h"

#include <algorithm>

namespace ryeglade::limits {

Time InvalidKeyThrottle::DelayOfNext(Time now) {
  next_slot_ = std::max(next_slot_, now - burst_span_);
  const Time delay = std::clamp<Time>(next_slot_ - now, 0, max_delay_);
  // The next slot lies at most the longest delay ahead, so that the backlog of a flood clears soon after the
  // flood has ended.
  next_slot_ = std::min(next_slot_ + interval_, now + max_delay_);
  return delay;
}

}  // namespace ryeglade::limits
