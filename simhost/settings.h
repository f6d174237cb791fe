// Reads the settings text of a new node, which has one key=value per line. Unknown keys are ignored. A
// missing key leaves the default of ryeglade::policy::Settings. A malformed value throws a WireError that
// names its key. The text has its own names for the settings; only ReadSettings maps them to the terms of
// Settings.
#pragma once

#include <string_view>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

// Throws a WireError as described above, also if the text has no class.
Settings ReadSettings(std::string_view text);

}  // namespace ryeglade::policy::wire
