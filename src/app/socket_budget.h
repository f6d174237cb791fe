// How a node divides the descriptors that its configuration allows it: some for itself, the rest between
// clients and upstream connections.
#pragma once

#include <cstddef>

#include "settings/edge_settings.h"

namespace ryeglade {

// Descriptors that are neither a client's nor an upstream connection's: the event loop's, listeners, standard
// streams, discovery, callers of the management address, some spare.
std::size_t ReservedSockets();
// What is left of `limit` for clients and upstream connections.
std::size_t TrafficSockets(std::size_t limit);
std::size_t UpstreamSockets(std::size_t traffic_sockets);
// For one client listener; with two each has half of what clients get.
std::size_t ListenerSockets(std::size_t traffic_sockets, const EdgeSettings& settings);

}  // namespace ryeglade
