// The start times of replicas by this node's clock. Discovery reports them in wall-clock time. If the clock
// was set back before this node started, a start may be in the node's future, and the replica would count as
// warming up until then. Such a start is replaced by the time at which it was first reported. Pure: no I/O,
// no clock.
#pragma once

#include <cstddef>
#include <map>

#include "ryeglade/router.h"

namespace ryeglade {

// Stores only the starts that were in the future.
class ReplicaIncarnations {
 public:
  // Returns the start to use, in microseconds. `reported` is the start according to discovery; 0 means long
  // ago. The result is never later than `now` and does not change while the same start is reported.
  policy::Time StartOf(policy::ReplicaId id, policy::Time reported, policy::Time now);
  void Forget(policy::ReplicaId id);  // for a replica that is no longer listed
  std::size_t size() const { return future_starts_.size(); }

 private:
  // A start that was in the future when it was first reported.
  struct FutureStart {
    policy::Time reported = 0;  // as discovery reports it
    policy::Time first_reported_at = 0;
  };
  std::map<policy::ReplicaId, FutureStart> future_starts_;
};

}  // namespace ryeglade
