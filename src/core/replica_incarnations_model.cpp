#include "core/replica_incarnations_model.h"

namespace ryeglade {

policy::Time ReplicaIncarnations::Take(policy::ReplicaId id, policy::Time told, policy::Time now) {
  const auto before = heard_.find(id);
  if (before != heard_.end() && before->second.told == told) return before->second.at;
  if (told <= now) {
    if (before != heard_.end()) heard_.erase(before);
    return told;
  }
  heard_[id] = {told, now};
  return now;
}

void ReplicaIncarnations::Forget(policy::ReplicaId id) { heard_.erase(id); }

}  // namespace ryeglade
