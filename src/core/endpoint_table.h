// Table of the replicas that service discovery lists, by name and id, overlaid with the replicas that
// operators disabled. Endpoint lists are applied here: the decision module is notified, and upstream hosts
// are added and removed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/address_owners_model.h"
#include "core/core.h"
#include "core/disabled_replicas_model.h"
#include "core/endpoint_list_parser.h"
#include "core/replica_incarnations_model.h"

namespace ryeglade {

// The only place that assigns ids to replicas.
class EndpointTable {
 public:
  explicit EndpointTable(Core* core) : core_(core) {}  // not owned

  // Applies a list. `source` is that of EndpointObserver::OnEndpointList. Any scope except kDelta replaces
  // all listed replicas.
  void Apply(const ParsedEndpointList& list, policy::EndpointListScope scope, const char* source);
  // Applies only those entries of a list that take listed replicas out of use, and keeps the generation. For
  // lists from the previous address, whose generations cannot be compared with the current ones.
  void ApplyWithdrawals(ParsedEndpointList list, const char* source);
  // Returns the current list in discovery's JSON form.
  std::string Encode() const;

  std::uint64_t generation() const { return generation_; }  // of the most recently applied list
  const std::set<ReplicaId>& listed() const { return listed_; }

  // Returns the id of an instance, and assigns one if it has none. The id is a hash of the name and so the
  // same at every node, unless two names have the same hash: the second one then gets the next free id.
  ReplicaId IdOf(const std::string& instance);
  std::string NameOf(ReplicaId id) const;  // empty if the id is unknown

  // Whether the list has a replica of that name.
  bool IsListed(const std::string& instance) const;

  // The replicas that operators disabled. The decision module sees them as draining, whatever the lists say;
  // once they are enabled again, it sees them as just started, so that they warm up. ReplaceDisabled takes
  // over those that the processes of the node share, and notifies the module of what changes.
  const DisabledReplicas& disabled() const { return disabled_; }
  void ReplaceDisabled(const DisabledReplicas& disabled);
  bool IsDisabled(ReplicaId id) const;
  // Disabled, not ready according to the lists, or its address belongs to another replica.
  bool IsUnavailable(ReplicaId id) const;

 private:
  bool Withdraws(const ListedEndpoint& entry) const;
  std::size_t MaxReplicas() const;
  void ApplyEntry(const ListedEndpoint& entry, policy::EndpointList* update, std::set<ReplicaId>* listed,
                  std::vector<ReplicaId>* removed);
  void ForgetFormerProcess(const std::string& name, const policy::Endpoint& endpoint);
  void WithdrawFormerOwners(policy::EndpointList* update);
  void Forget(ReplicaId id);
  void Post(policy::EndpointList update);
  void ApplyOverrides(const DisabledReplicas& disabled, const std::string& name,
                      policy::Endpoint& endpoint) const;

  Core* core_;
  std::uint64_t generation_ = 0;
  std::map<std::string, ReplicaId> ids_;
  std::map<ReplicaId, std::string> names_;
  std::set<ReplicaId> listed_;
  // The latest entry of each listed replica, as it was before disabled replicas are taken into account.
  std::map<ReplicaId, policy::Endpoint> last_listed_;
  ReplicaIncarnations incarnations_;
  AddressOwners address_owners_;
  std::set<ReplicaId> former_owners_;  // replicas that have lost their address by the list being applied
  DisabledReplicas disabled_;          // by name, because an id can be given to another name later
};

}  // namespace ryeglade
