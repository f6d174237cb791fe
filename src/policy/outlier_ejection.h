// Outlier ejection: a replica that fails gets no new attempts for a time that grows with each consecutive
// failure. If too large a part of the fleet would be ejected at once, the cause is probably a shared one, and
// no replica is ejected (panic threshold).
#pragma once

#include <cstddef>
#include <optional>

#include "random_source.h"
#include "replica.h"

namespace ryeglade::policy {

class OutlierEjection {
 public:
  // Counts a failure, which must be neither kServed nor kAtCapacity. Returns the time until which the replica
  // is ejected, or nullopt if this failure does not eject it.
  std::optional<Time> RecordFailure(Replica& replica, Outcome outcome, Time now, RandomSource& random);

  // Whether the replica is ejected after failures that this node or other nodes have seen.
  static bool IsEjected(const Replica& replica, Time now);

  // Ejections are enforced only while the share of ejected replicas is within the panic threshold.
  void UpdatePanic(std::size_t ejected, std::size_t ready);
  bool is_enforced() const { return enforced_; }
  bool MayDispatch(const Replica& replica, Time now) const { return !enforced_ || !IsEjected(replica, now); }

 private:
  bool enforced_ = true;
};

}  // namespace ryeglade::policy
