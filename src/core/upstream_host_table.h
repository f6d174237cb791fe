// The upstream hosts that discovery lists now, and where each of them is reached.
#pragma once

#include <netinet/in.h>

#include <map>
#include <string>

#include "core/ports.h"

namespace ryeglade {

// Where a host is reached.
struct UpstreamHost {
  std::string host_port;  // "ip:port" or "[ip]:port", as discovery wrote it
  sockaddr_storage address{};
};

// Only the hosts that are listed now.
class UpstreamHostTable {
 public:
  // Adds a host, or gives a known one another address.
  void Set(ReplicaId id, const std::string& host_port);
  void Remove(ReplicaId id) { hosts_.erase(id); }
  bool Contains(ReplicaId id) const { return hosts_.contains(id); }
  // Null: not listed. Valid until the host is removed.
  const UpstreamHost* Find(ReplicaId id) const;
  std::string AddressOf(ReplicaId id) const;  // empty: not listed

 private:
  std::map<ReplicaId, UpstreamHost> hosts_;
};

}  // namespace ryeglade
