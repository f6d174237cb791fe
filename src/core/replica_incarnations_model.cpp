#include "core/replica_incarnations_model.h"

namespace ryeglade {

policy::Time ReplicaIncarnations::StartOf(policy::ReplicaId id, policy::Time reported, policy::Time now) {
  const auto known = future_starts_.find(id);
  if (known != future_starts_.end() && known->second.reported == reported) {
    return known->second.first_reported_at;
  }
  if (reported <= now) {
    if (known != future_starts_.end()) future_starts_.erase(known);
    return reported;
  }
  future_starts_[id] = {reported, now};
  return now;
}

void ReplicaIncarnations::Forget(policy::ReplicaId id) { future_starts_.erase(id); }

}  // namespace ryeglade
