// Names of the files in $TMPDIR that two processes of one node share during a hot restart. $TMPDIR is the
// same for both and is not emptied between them.
#pragma once

#include <string>

#include "settings/config.h"

namespace ryeglade {

// Of the node of this name. `kind` says what is in the file.
std::string NodeFilePath(const std::string& kind, const Config& config);
// Of the node of this name at this listen address: nodes of one name need not be one node. Empty where the
// kernel chooses the port, as no later process can have the same address then.
std::string AddressFilePath(const std::string& kind, const Config& config);

}  // namespace ryeglade
