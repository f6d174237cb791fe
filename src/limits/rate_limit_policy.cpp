#include "limits/rate_limit_policy.h"

#include <algorithm>

namespace ryeglade::limits {

Time WrongKeys::Wait(Time now) {
  next_ = std::max(next_, now - slack_);
  const Time wait = std::clamp<Time>(next_ - now, 0, most_);
  // Turns beyond the longest wait are not given out: the debt of a long flood ends soon after it.
  next_ = std::min(next_ + step_, now + most_);
  return wait;
}

}  // namespace ryeglade::limits
