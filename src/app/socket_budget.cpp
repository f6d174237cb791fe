#include "app/socket_budget.h"

#include <algorithm>

#include "admin/admin_front.h"
#include "core/discovery.h"
#include "membership/membership.h"
#include "membership/status_front.h"

namespace ryeglade {
namespace {

constexpr std::size_t kOwnSockets = 24 + AdminFront::kSockets;  // the reserve without discovery's sockets
constexpr std::size_t kMinTrafficSockets = 16;
// A connection takes up to 4 KiB without what it sends, and all of them a quarter of the memory.
constexpr std::size_t kSocketsPerMb = 64;
constexpr std::size_t kUpstreamPercent = 45;
constexpr std::size_t kClientPercent = 100 - kUpstreamPercent;

}  // namespace

std::size_t UsableSockets(std::size_t sockets, std::size_t memory_mb) {
  return std::min(sockets, memory_mb * kSocketsPerMb);
}

std::size_t ReservedSockets() { return kOwnSockets + Discovery::kMaxSockets; }

std::size_t TrafficSockets(std::size_t limit) {
  return std::max(limit, ReservedSockets() + kMinTrafficSockets) - ReservedSockets();
}

std::size_t UpstreamSockets(std::size_t traffic_sockets) { return traffic_sockets * kUpstreamPercent / 100; }

std::size_t ListenerSockets(std::size_t traffic_sockets, const EdgeSettings& settings) {
  const std::size_t membership = settings.membership.enabled()
                                     ? membership::Membership::kSockets + membership::StatusFront::kSockets
                                     : 0;
  std::size_t clients = traffic_sockets * kClientPercent / 100;
  if (clients > 2 * membership) clients -= membership;
  const std::size_t listeners = settings.openai.enabled ? 2 : 1;
  return clients / listeners;
}

}  // namespace ryeglade
