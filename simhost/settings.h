// Reads the settings text that comes with a new node: one path=value a line. Unknown keys are ignored, a
// missing key keeps the default of ryeglade::policy::Settings, and a malformed value is a WireError naming
// it. The text has names of its own; ReadSettings is the one place that maps them to the terms of Settings.
#pragma once

#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

Settings ReadSettings(std::string_view text);

}  // namespace ryeglade::policy::wire
