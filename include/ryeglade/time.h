// The time type of ryeglade::policy.
#pragma once

#include <cstdint>

namespace ryeglade::policy {

// Microseconds on the caller's monotonic clock, as a point in time (no particular origin) or a duration.
using Time = std::int64_t;

}  // namespace ryeglade::policy
