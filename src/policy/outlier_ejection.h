// Outlier ejection: a replica that fails gets nothing new for a while, longer with each failure in a row. If
// too much of the fleet would be ejected at once the cause is shared, and nothing is.
#pragma once

#include <cstddef>
#include <optional>

#include "random_source.h"
#include "replica.h"

namespace ryeglade::policy {

class OutlierEjection {
 public:
  // Another failure in a row. The time until which the replica is ejected, if it now is; `outcome` is neither
  // kServed nor kAtCapacity.
  std::optional<Time> RecordFailure(Replica& replica, Outcome outcome, Time now, RandomSource& random);

  // By own failures or by what other nodes tell.
  static bool IsEjected(const Replica& replica, Time now);

  // Ejections count only while no more than the panic threshold of the ready replicas is ejected.
  void UpdatePanic(std::size_t ejected, std::size_t ready);
  bool is_enforced() const { return enforced_; }
  bool MayDispatch(const Replica& replica, Time now) const { return !enforced_ || !IsEjected(replica, now); }

 private:
  bool enforced_ = true;
};

}  // namespace ryeglade::policy
