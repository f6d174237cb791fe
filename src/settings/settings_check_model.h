// What no deployment can mean: settings that would make a node refuse, lose or spoil everything it is sent.
// Whatever can be meant is taken, however unusual. No I/O, no clock.
#pragma once

#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

// The first setting that can't be meant: its key as the configuration names it, what is wrong, and the
// remedy. Empty: none.
std::string WrongSetting(const policy::Settings& settings);

}  // namespace ryeglade
