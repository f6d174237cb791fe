// The replicas as service discovery lists them, by name and number, with what operators said over them. Lists
// are applied here: the decision module is told, and the upstream hosts are set and removed.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "core/core.h"
#include "core/disabled_replicas_model.h"
#include "core/endpoint_list_parser.h"
#include "core/replica_incarnations_model.h"

namespace ryeglade {

// The one place that gives replicas their numbers.
class EndpointTable {
 public:
  explicit EndpointTable(Core* core) : core_(core) {}  // not owned

  // `source`: as for EndpointObserver::OnEndpointList. Any scope but kDelta replaces all that is listed.
  void Apply(const ParsedEndpointList& list, policy::EndpointListScope scope, const char* source);
  // Of a list whose generation means nothing here: only what takes listed replicas out of use.
  void ApplyWithdrawals(ParsedEndpointList list, const char* source);
  // The list as it is known now, in discovery's form.
  std::string Encode() const;

  std::uint64_t generation() const { return generation_; }  // of the list applied last
  const std::set<ReplicaId>& listed() const { return listed_; }

  // Alike at every node, whatever order the names come in (but for a clash of hashes, which gets the next
  // free number).
  ReplicaId IdOf(const std::string& instance);
  std::string NameOf(ReplicaId id) const;  // empty: not known

  // An operator disables `instance` or enables it again. While it is disabled, the module is told it drains,
  // whatever the lists say; once enabled, it is told it has just started, so that it warms up again. Disabled
  // twice needs enabling once. False: no replica of that name is known, and nothing changes.
  bool SetDisabled(const std::string& instance, bool disabled);
  // What operators said, to pass to another process of this node, and taken from one: it replaces what was
  // said here, and the module is told what changes for the replicas that are listed.
  const DisabledReplicas& disabled() const { return disabled_; }
  void ReplaceDisabled(const DisabledReplicas& disabled);
  bool IsDisabled(ReplicaId id) const;
  bool IsUnavailable(ReplicaId id) const;  // disabled, or not ready as the lists tell

 private:
  bool Withdraws(const ListedEndpoint& entry) const;
  void ApplyEntry(const ListedEndpoint& entry, policy::EndpointList* update, std::set<ReplicaId>* listed,
                  std::vector<ReplicaId>* removed);
  void Forget(ReplicaId id);
  void Post(policy::EndpointList update);
  static void Overlay(const DisabledReplicas& disabled, const std::string& name, policy::Endpoint& e);

  Core* core_;
  std::uint64_t generation_ = 0;
  std::map<std::string, ReplicaId> ids_;
  std::map<ReplicaId, std::string> names_;
  std::set<ReplicaId> listed_;
  std::map<ReplicaId, policy::Endpoint> last_listed_;  // each listed replica as the lists last had it
  ReplicaIncarnations incarnations_;
  DisabledReplicas disabled_;  // by name, since ids are reused
};

}  // namespace ryeglade
