// When replicas started, by this node's clock. Discovery tells starts in wall-clock time. Where this node's
// clock was set back before the node started, a start may lie in its future, and the replica would count as
// cold until then: such a start counts from the moment it was first heard of.
#pragma once

#include <map>

#include "ryeglade/router.h"

namespace ryeglade {

class ReplicaIncarnations {
 public:
  // `told`: the start as discovery told it; 0: long ago. The result is never later than `now` and stays the
  // same for as long as the same start is told. Microseconds.
  policy::Time Take(policy::ReplicaId id, policy::Time told, policy::Time now);
  void Forget(policy::ReplicaId id);  // a replica that is listed no longer
  std::size_t size() const { return heard_.size(); }

 private:
  struct Heard {
    policy::Time told = 0;
    policy::Time at = 0;
  };
  std::map<policy::ReplicaId, Heard> heard_;  // only starts that lay in the future when they were told
};

}  // namespace ryeglade
