// How a node divides the descriptors that its configuration allows: a reserve for its own use, and the rest
// between client connections and upstream connections.
#pragma once

#include <cstddef>

#include "settings/edge_settings.h"

namespace ryeglade {

// The number of descriptors that serve neither clients nor upstream connections: the event loop, listeners,
// standard streams, discovery, connections to the management address, and some spare.
std::size_t ReservedSockets();
// What remains of `limit` for client and upstream connections; never less than a small minimum.
std::size_t TrafficSockets(std::size_t limit);
// The share of upstream connections.
std::size_t UpstreamSockets(std::size_t traffic_sockets);
// The share of one client listener. If the OpenAI-style API is on, there are two, each with half.
std::size_t ListenerSockets(std::size_t traffic_sockets, const EdgeSettings& settings);

}  // namespace ryeglade
