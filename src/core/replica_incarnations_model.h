// When replicas started, by this node's clock. Discovery tells starts in wall-clock time. Where this node's
// clock was set back before the node started, a start may lie in its future, and the replica would count as
// warming up until then: such a start counts from the moment it was first reported. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <map>

#include "ryeglade/router.h"

namespace ryeglade {

// Remembers only starts that were in the future.
class ReplicaIncarnations {
 public:
  // `reported`: the start as discovery tells it; 0: long ago. The result is never later than `now` and stays
  // the same for as long as the same start is reported. Microseconds.
  policy::Time StartOf(policy::ReplicaId id, policy::Time reported, policy::Time now);
  void Forget(policy::ReplicaId id);  // a replica that is listed no longer
  std::size_t size() const { return future_starts_.size(); }

 private:
  // A start that was in the future when first reported.
  struct FutureStart {
    policy::Time reported = 0;
    policy::Time first_reported_at = 0;
  };
  std::map<policy::ReplicaId, FutureStart> future_starts_;  // only starts in the future when first reported
};

}  // namespace ryeglade
