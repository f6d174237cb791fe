// The time type of the decision module.
#pragma once

#include <cstdint>

namespace ryeglade::policy {

// Microseconds on the caller's monotonic clock, as a point in time (no particular origin) or a duration.
using Time = std::int64_t;

}  // namespace ryeglade::policy
