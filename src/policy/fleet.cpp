#include "fleet.h"

#include <algorithm>

namespace ryeglade::policy {
namespace {

bool IdBefore(const std::unique_ptr<Replica>& replica, ReplicaId id) { return replica->endpoint.id < id; }

}  // namespace

const Replica* Fleet::Find(ReplicaId id) const {
  const auto it = std::lower_bound(replicas_.begin(), replicas_.end(), id, IdBefore);
  return it != replicas_.end() && (*it)->endpoint.id == id ? it->get() : nullptr;
}

Replica& Fleet::FindOrAdd(ReplicaId id, Time now, RandomSource& random) {
  const auto it = std::lower_bound(replicas_.begin(), replicas_.end(), id, IdBefore);
  if (it != replicas_.end() && (*it)->endpoint.id == id) return **it;
  Replica& added = **replicas_.insert(it, std::make_unique<Replica>());
  ResetAfterRestart(added, now, random);
  added.endpoint.id = id;
  return added;
}

void Fleet::Apply(const EndpointList& list, Time now, RandomSource& random) {
  if (list.scope != EndpointListScope::kDelta) {
    for (const auto& replica : replicas_) replica->listed = false;
  }
  for (const Endpoint& entry : list.endpoints) {
    const Replica* known = Find(entry.id);
    if (known == nullptr && entry.state == EndpointState::kRemoved) continue;
    Replica& replica = FindOrAdd(entry.id, now, random);
    if (known != nullptr && entry.started_at > replica.endpoint.started_at) {
      ResetAfterRestart(replica, now, random);
    }
    replica.endpoint = entry;
    replica.listed = entry.state != EndpointState::kRemoved;
    replica.ready = entry.state == EndpointState::kReady;
  }
  for (const auto& replica : replicas_) replica->ready = replica->ready && replica->listed;
  std::erase_if(replicas_, [&](const auto& replica) {
    const bool gone = !replica->listed && replica->in_flight == 0;
    if (gone) sibling_in_flight_ -= replica->sibling_in_flight;
    return gone;
  });
}

// Resets a replica that has restarted, except for the number of its attempts, whose outcomes are still to
// come. Also initializes a new replica.
void Fleet::ResetAfterRestart(Replica& replica, Time now, RandomSource& random) {
  const int in_flight = replica.in_flight;
  sibling_in_flight_ -= replica.sibling_in_flight;
  replica = Replica{};
  replica.in_flight = in_flight;
  // All nodes learn of a start at the same time. A random number of tokens spreads their first dispatches.
  replica.slow_start_tokens = random.Next();
  replica.slow_start_updated_at = now;
}

void Fleet::AttemptSent(Replica& replica) {
  ++replica.in_flight;
  ++own_in_flight_;
}

void Fleet::AttemptEnded(Replica* replica) {
  --own_in_flight_;
  if (replica != nullptr) --replica->in_flight;
}

void Fleet::RemoveIfUnlisted(const Replica& replica) {
  if (replica.listed || replica.in_flight != 0) return;
  sibling_in_flight_ -= replica.sibling_in_flight;
  std::erase_if(replicas_, [&](const auto& known) { return known.get() == &replica; });
}

void Fleet::SetSiblingInFlight(const std::vector<std::pair<ReplicaId, int>>& in_flight) {
  sibling_in_flight_ = 0;
  for (const auto& replica : replicas_) replica->sibling_in_flight = 0;
  for (const auto& [id, attempts] : in_flight) {
    Replica* replica = Find(id);
    if (replica == nullptr) continue;
    replica->sibling_in_flight = std::max(0, attempts);
    sibling_in_flight_ += replica->sibling_in_flight;
  }
}

}  // namespace ryeglade::policy
