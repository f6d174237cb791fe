// Paths of the files in $TMPDIR that two processes of one node share during a hot restart. Both processes
// must have the same $TMPDIR, and it must not be emptied in between.
#pragma once

#include <string>

#include "settings/config.h"

namespace ryeglade {

// Returns the path of a file that belongs to the node name. `kind` says what the file contains.
std::string NodeFilePath(const std::string& kind, const Config& config);
// Returns the path of a file that belongs to the node name and the listen address, since several nodes may
// have the same name. Returns an empty string if the kernel chooses the port, as no later process can know
// the address then.
std::string AddressFilePath(const std::string& kind, const Config& config);

}  // namespace ryeglade
