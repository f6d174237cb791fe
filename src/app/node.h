// A node: all modules on one event loop, from the start to the graceful shutdown at SIGTERM.
#pragma once

#include "settings/config.h"
#include "settings/edge_settings.h"

namespace ryeglade {

// Returns after the graceful shutdown that SIGTERM or SIGINT causes. Throws std::runtime_error if the node
// can't start.
void Serve(const Config& config, const EdgeSettings& settings = {});

}  // namespace ryeglade
