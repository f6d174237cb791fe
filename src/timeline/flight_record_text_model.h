// Flight records as human-readable text. Performs no I/O and reads no clock.
#pragma once

#include <string>

#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// Returns one line of text without the line break. Times are Unix time in milliseconds, and
// durations are in milliseconds.
std::string ToText(const Record& record);

}  // namespace ryeglade::timeline
