// Finds settings with which a node would reject, lose or corrupt everything that it is sent. Unusual settings
// that some deployment could want pass. Pure: no I/O, no clock.
#pragma once

#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

// The first invalid setting: its key as the configuration names it, what is wrong, and the remedy. Empty:
// none.
std::string FindInvalidSetting(const policy::Settings& settings);

}  // namespace ryeglade
