// One node: the modules put together on one loop, and its orderly end at SIGTERM.
#pragma once

#include "settings/config.h"
#include "settings/edge_settings.h"

namespace ryeglade {

// Serves until SIGTERM or SIGINT has been obeyed. Throws std::runtime_error if it cannot start.
void Serve(const Config& config, const EdgeSettings& settings = {});

}  // namespace ryeglade
