#include "core/endpoint_table.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>
#include <vector>

#include "base/log.h"

namespace ryeglade {
namespace {

using nlohmann::json;
using policy::Endpoint;
using policy::EndpointList;
using policy::EndpointListScope;
using policy::EndpointState;

// A replica takes up to this many bytes in the node's tables, which get one part in kMemoryShare of its
// memory.
constexpr std::size_t kBytesPerReplica = 1024;
constexpr std::size_t kMemoryShare = 4;

void LogInvalid(const ListedEndpoint& entry) {
  if (entry.invalid == InvalidEntry::kNoName) {
    Log(Level::kWarn, "discovery-entry-skipped", {{"why", "no-name"}});
  } else {
    Log(Level::kWarn, "discovery-entry-skipped", {{"why", "address"}, {"name", entry.name}});
  }
}

const char* Name(EndpointListScope scope) {
  switch (scope) {
    case EndpointListScope::kDelta:
      return "delta";
    case EndpointListScope::kCached:
      return "cached";
    default:
      return "full";
  }
}

}  // namespace

ReplicaId EndpointTable::IdOf(const std::string& instance) {
  const auto known = ids_.find(instance);
  if (known != ids_.end()) return known->second;
  std::uint32_t id = 2166136261U;  // FNV-1a
  for (const char c : instance) id = (id ^ static_cast<unsigned char>(c)) * 16777619U;
  while (names_.contains(id)) ++id;
  ids_[instance] = id;
  names_[id] = instance;
  return id;
}

std::string EndpointTable::NameOf(ReplicaId id) const {
  const auto name = names_.find(id);
  return name == names_.end() ? "" : name->second;
}

std::string EndpointTable::Encode() const {
  const auto name_at = [](const std::vector<std::string>& names, int index) {
    const bool known = index >= 0 && static_cast<std::size_t>(index) < names.size();
    return known ? names[static_cast<std::size_t>(index)] : "";
  };
  json instances = json::array();
  for (const auto& [id, endpoint] : last_listed_) {
    const auto name = names_.find(id);
    if (name == names_.end()) continue;
    instances.push_back({{"instanceId", name->second},
                         {"hostPort", core_->hosts->AddressOf(id)},
                         {"zone", name_at(core_->config->zones, endpoint.zone)},
                         {"machineType", name_at(core_->config->replica_kinds, endpoint.kind)},
                         {"cell", endpoint.cell},
                         {"weight", endpoint.weight},
                         {"startedAtMs", endpoint.started_at / 1000},
                         {"lifecycle", endpoint.state == EndpointState::kReady ? "active" : "leaving"}});
  }
  return json{{"generation", generation_}, {"reset", true}, {"instances", std::move(instances)}}.dump(
      -1, ' ', false, json::error_handler_t::replace);
}

// ---- Lists ----

std::size_t EndpointTable::MaxReplicas() const {
  return core_->config->memory_mb * 1024 * 1024 / kMemoryShare / kBytesPerReplica;
}

bool EndpointTable::IsListed(const std::string& instance) const {
  const auto known = ids_.find(instance);
  return known != ids_.end() && listed_.contains(known->second);
}

void EndpointTable::Apply(const ParsedEndpointList& list, EndpointListScope scope, const char* source) {
  EndpointList update{scope, static_cast<std::uint32_t>(list.generation), {}};
  std::set<ReplicaId> listed;
  std::vector<ReplicaId> removed;
  const std::size_t kept = scope == EndpointListScope::kDelta ? listed_.size() : 0;
  const std::size_t capacity = MaxReplicas() - std::min(MaxReplicas(), kept);
  std::size_t skipped = 0;
  address_owners_.BeginList();
  for (const ListedEndpoint& entry : list.entries) {
    if (listed.size() < capacity || IsListed(entry.name)) {
      ApplyEntry(entry, &update, &listed, &removed);
    } else {
      ++skipped;
    }
  }
  WithdrawFormerOwners(&update);
  if (skipped > 0) {
    Log(Level::kError, "discovery-list-too-long", {{"skipped", skipped}, {"most", MaxReplicas()}});
  }
  if (scope == EndpointListScope::kDelta) {
    listed_.insert(listed.begin(), listed.end());
    for (const ReplicaId id : removed) listed_.erase(id);
  } else {
    for (const ReplicaId id : listed_) {
      if (listed.contains(id)) continue;
      removed.push_back(id);
      last_listed_.erase(id);
    }
    listed_ = std::move(listed);
  }
  generation_ = list.generation;
  if (scope != EndpointListScope::kDelta || !update.endpoints.empty()) {
    Log(Level::kInfo, "list",
        {{"scope", Name(scope)},
         {"generation", static_cast<unsigned long long>(generation_)},
         {"entries", update.endpoints.size()},
         {"hosts", listed_.size()}});
  }
  if (core_->endpoint_observer != nullptr) {
    core_->endpoint_observer->OnEndpointList(Now(), source, generation_, "");
  }
  Post(std::move(update));
  for (const ReplicaId id : removed) {
    if (!listed_.contains(id)) Forget(id);
  }
}

void EndpointTable::ApplyEntry(const ListedEndpoint& entry, EndpointList* update, std::set<ReplicaId>* listed,
                               std::vector<ReplicaId>* removed) {
  if (entry.invalid != InvalidEntry::kNone) return LogInvalid(entry);
  Endpoint endpoint = entry.endpoint;
  endpoint.id = IdOf(entry.name);
  endpoint.started_at = incarnations_.StartOf(endpoint.id, endpoint.started_at, Now());
  if (endpoint.state == EndpointState::kRemoved) {
    removed->push_back(endpoint.id);
    last_listed_.erase(endpoint.id);
  } else {
    ForgetFormerProcess(entry.name, endpoint);
    core_->hosts->SetHost(endpoint.id, entry.host_port);
    former_owners_.merge(address_owners_.Add(endpoint.id, entry.host_port));
    last_listed_[endpoint.id] = endpoint;
    ApplyOverrides(disabled_, entry.name, endpoint);
    if (core_->endpoint_observer != nullptr) {
      core_->endpoint_observer->OnEndpoint(Now(), endpoint, entry.name, entry.host_port);
    }
    listed->insert(endpoint.id);
  }
  update->endpoints.push_back(endpoint);
}

// A replica that has been started again has none of the connections of its former process, and its address.
void EndpointTable::ForgetFormerProcess(const std::string& name, const Endpoint& endpoint) {
  const auto last = last_listed_.find(endpoint.id);
  if (last == last_listed_.end() || endpoint.started_at <= last->second.started_at) return;
  Log(Level::kInfo, "replica-restarted", {{"instance", name}});
  core_->hosts->CloseIdle(endpoint.id);
  address_owners_.Forget(endpoint.id);
}

// What would be sent to these replicas would reach another one, which has their address now.
void EndpointTable::WithdrawFormerOwners(EndpointList* update) {
  std::set<ReplicaId> former_owners = std::exchange(former_owners_, {});
  std::erase_if(former_owners, [this](ReplicaId id) { return !last_listed_.contains(id); });  // removed
  std::erase_if(update->endpoints, [&](const Endpoint& listed) { return former_owners.contains(listed.id); });
  for (const ReplicaId id : former_owners) {
    if (address_owners_.HasLost(id, core_->hosts->AddressOf(id))) {
      Log(Level::kWarn, "replica-address-taken", {{"instance", NameOf(id)}});
      core_->hosts->CloseIdle(id);
    }
    Endpoint endpoint = last_listed_.at(id);
    ApplyOverrides(disabled_, NameOf(id), endpoint);
    update->endpoints.push_back(endpoint);
  }
}

void EndpointTable::Forget(ReplicaId id) {
  incarnations_.Forget(id);
  address_owners_.Forget(id);
  core_->hosts->RemoveHost(id);
  // Frees the memory: replicas get new names all the time, so the maps would grow without bound. A name that
  // comes back gets the same id.
  const auto known = names_.find(id);
  if (known == names_.end()) return;
  ids_.erase(known->second);
  names_.erase(known);
}

void EndpointTable::ApplyWithdrawals(ParsedEndpointList list, const char* source) {
  std::erase_if(list.entries, [this](const ListedEndpoint& entry) { return !Withdraws(entry); });
  const std::uint64_t generation = generation_;
  Apply(list, EndpointListScope::kDelta, source);
  generation_ = generation;
}

// Returns whether an entry says that a listed replica takes no new requests, and is not about an earlier
// start of the replica than the known one.
bool EndpointTable::Withdraws(const ListedEndpoint& entry) const {
  const auto id = ids_.find(entry.name);
  if (id == ids_.end() || entry.lifecycle.empty() || entry.lifecycle == "active") return false;
  const auto last = last_listed_.find(id->second);
  if (last == last_listed_.end()) return false;
  return entry.started_at_ms == 0 ||
         entry.started_at_ms * 1000 >= static_cast<double>(last->second.started_at);
}

// The decision module is notified first, so that it decides nothing more by the old list. Then the attempts
// that it decided on by the old list and that have not been written are dropped.
void EndpointTable::Post(EndpointList update) {
  std::vector<ReplicaId> not_ready;
  for (const Endpoint& endpoint : update.endpoints) {
    if (endpoint.state != EndpointState::kReady) not_ready.push_back(endpoint.id);
  }
  core_->events->Post(std::move(update));
  for (const ReplicaId id : not_ready) core_->hosts->DropUnsent(id);
}

// ---- Replicas that operators disabled ----

// Overrides the state and the start for a replica that was disabled or enabled again, and the state of one
// whose address another replica has.
void EndpointTable::ApplyOverrides(const DisabledReplicas& disabled, const std::string& name,
                                   Endpoint& endpoint) const {
  const bool withdrawn = disabled.disabled.contains(name) ||
                         address_owners_.HasLost(endpoint.id, core_->hosts->AddressOf(endpoint.id));
  if (withdrawn && endpoint.state == EndpointState::kReady) endpoint.state = EndpointState::kDraining;
  if (const auto enabled = disabled.enabled.find(name); enabled != disabled.enabled.end()) {
    endpoint.started_at = std::max(endpoint.started_at, enabled->second);
  }
}

bool EndpointTable::IsDisabled(ReplicaId id) const {
  const auto name = names_.find(id);
  return name != names_.end() && disabled_.disabled.contains(name->second);
}

bool EndpointTable::IsUnavailable(ReplicaId id) const {
  const auto last = last_listed_.find(id);
  const bool not_ready = last != last_listed_.end() && last->second.state != EndpointState::kReady;
  return IsDisabled(id) || not_ready || address_owners_.HasLost(id, core_->hosts->AddressOf(id));
}

void EndpointTable::ReplaceDisabled(const DisabledReplicas& disabled) {
  EndpointList update{EndpointListScope::kDelta, static_cast<std::uint32_t>(generation_), {}};
  for (const auto& [id, listed] : last_listed_) {
    const auto name = names_.find(id);
    if (name == names_.end()) continue;
    Endpoint before = listed;
    Endpoint after = listed;
    ApplyOverrides(disabled_, name->second, before);
    ApplyOverrides(disabled, name->second, after);
    if (before.state != after.state || before.started_at != after.started_at) {
      update.endpoints.push_back(after);
    }
  }
  disabled_ = disabled;
  if (!update.endpoints.empty()) Post(std::move(update));
}

}  // namespace ryeglade
