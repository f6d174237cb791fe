// Flight records as text for people. No I/O, no clock.
#pragma once

#include <string>

#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// One line without a line end. Times are Unix time in milliseconds.
std::string ToText(const Record& record);

}  // namespace ryeglade::timeline
