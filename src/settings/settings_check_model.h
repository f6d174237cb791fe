// Finds settings with which a node would reject, lose or corrupt every request. Settings that are unusual but
// could be useful in some deployment are valid. Pure: no I/O, no clock.
#pragma once

#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

// Returns the first invalid setting: its key as the configuration names it, what is wrong, and the remedy.
// Returns an empty string if all settings are valid.
std::string FindInvalidSetting(const policy::Settings& settings);

}  // namespace ryeglade
