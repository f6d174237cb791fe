// One node: the modules put together on one loop, and its orderly end at SIGTERM.
#pragma once

#include "settings/config.h"

namespace ryeglade {

// Serves until SIGTERM or SIGINT has been obeyed. Throws ConfigError if it cannot start.
void Serve(const Config& config);

}  // namespace ryeglade
