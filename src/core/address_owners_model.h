// Which replica's process has an address. A replica that is newly listed at the address of another one, which
// an earlier list named, has taken it over: the other one's process has gone, although it may still be
// listed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

// Holds an entry for each listed replica.
class AddressOwners {
 public:
  // A list begins: replicas that it names are not taken for successors of each other.
  void BeginList();
  // The list names the replica at this address. Returns the replicas that have lost the address by that.
  std::set<policy::ReplicaId> Add(policy::ReplicaId id, const std::string& host_port);
  // Whether the replica has lost this address to another one.
  bool HasLost(policy::ReplicaId id, const std::string& host_port) const;
  void Forget(policy::ReplicaId id);

 private:
  // The replicas that have one address, and the list that named them there first.
  struct Owners {
    std::uint64_t list = 0;
    std::set<policy::ReplicaId> replicas;
  };
  std::uint64_t list_ = 0;  // number of the list that is being applied
  std::map<policy::ReplicaId, std::string> addresses_;
  std::map<std::string, Owners> owners_;  // by address
};

}  // namespace ryeglade
