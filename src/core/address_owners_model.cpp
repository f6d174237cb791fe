#include "core/address_owners_model.h"

#include <utility>

namespace ryeglade {

using policy::ReplicaId;

void AddressOwners::BeginList() { ++list_; }

std::set<ReplicaId> AddressOwners::Add(ReplicaId id, const std::string& host_port) {
  const auto known = addresses_.find(id);
  const bool is_new = known == addresses_.end();
  if (!is_new && known->second == host_port) return {};
  Forget(id);
  addresses_[id] = host_port;
  Owners& owners = owners_[host_port];
  std::set<ReplicaId> lost;
  if (is_new && owners.list != list_) lost = std::exchange(owners.replicas, {});
  if (is_new) owners.list = list_;
  owners.replicas.insert(id);
  return lost;
}

bool AddressOwners::HasLost(ReplicaId id, const std::string& host_port) const {
  const auto known = addresses_.find(id);
  if (known == addresses_.end() || known->second != host_port) return false;
  const auto owners = owners_.find(host_port);
  return owners == owners_.end() || !owners->second.replicas.contains(id);
}

void AddressOwners::Forget(ReplicaId id) {
  const auto known = addresses_.find(id);
  if (known == addresses_.end()) return;
  const auto owners = owners_.find(known->second);
  if (owners != owners_.end()) {
    owners->second.replicas.erase(id);
    if (owners->second.replicas.empty()) owners_.erase(owners);
  }
  addresses_.erase(known);
}

}  // namespace ryeglade
