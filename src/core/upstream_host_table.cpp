#include "core/upstream_host_table.h"

#include "base/tcp.h"

namespace ryeglade {

void UpstreamHostTable::Set(ReplicaId id, const std::string& host_port) {
  UpstreamHost& host = hosts_[id];
  host.host_port = host_port;
  ParseAddress(host_port, &host.address);
}

const UpstreamHost* UpstreamHostTable::Find(ReplicaId id) const {
  const auto host = hosts_.find(id);
  return host == hosts_.end() ? nullptr : &host->second;
}

std::string UpstreamHostTable::AddressOf(ReplicaId id) const {
  const UpstreamHost* host = Find(id);
  return host == nullptr ? "" : host->host_port;
}

}  // namespace ryeglade
