// How a node divides the descriptors that its configuration allows: a reserve for its own use, and the rest
// between client connections and upstream connections.
#pragma once

#include <cstddef>

#include "settings/edge_settings.h"

namespace ryeglade {

// Returns the number of descriptors that a process with these limits may use: fewer than `sockets` if the
// memory would not suffice for so many connections.
std::size_t UsableSockets(std::size_t sockets, std::size_t memory_mb);
// Returns the number of descriptors that serve neither clients nor upstream connections: the event loop,
// listeners, standard streams, discovery, connections to the management address, and some spare.
std::size_t ReservedSockets();
// Returns what remains of `limit` for client and upstream connections, but at least 16.
std::size_t TrafficSockets(std::size_t limit);
// Returns the share of the upstream connections.
std::size_t UpstreamSockets(std::size_t traffic_sockets);
// Returns the share of one client listener. The sockets of membership are taken from the client connections
// unless they would be half of these or more. If the OpenAI-style API is on, there are two listeners, each
// with half.
std::size_t ListenerSockets(std::size_t traffic_sockets, const EdgeSettings& settings);

}  // namespace ryeglade
