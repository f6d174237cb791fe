// The upstream hosts that discovery currently lists, with their addresses.
#pragma once

#include <netinet/in.h>

#include <map>
#include <string>

#include "core/ports.h"

namespace ryeglade {

// One upstream host's address.
struct UpstreamHost {
  std::string host_port;       // "ip:port" or "[ip]:port", as in discovery's list
  sockaddr_storage address{};  // parsed from `host_port`
};

// Contains only the hosts that are currently listed.
class UpstreamHostTable {
 public:
  // Adds a host, or changes the address of a known one.
  void Set(ReplicaId id, const std::string& host_port);
  void Remove(ReplicaId id) { hosts_.erase(id); }
  bool Contains(ReplicaId id) const { return hosts_.contains(id); }
  // Returns nullptr if the host is not listed. The pointer is valid until the host is removed.
  const UpstreamHost* Find(ReplicaId id) const;
  std::string AddressOf(ReplicaId id) const;  // empty if the host is not listed

 private:
  std::map<ReplicaId, UpstreamHost> hosts_;
};

}  // namespace ryeglade
