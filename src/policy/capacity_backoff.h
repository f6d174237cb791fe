// Backoff from a replica that has answered "at capacity": a short pause without new attempts, and a lower
// limit that recovers with time. The functions depend on the replica's learned state only. Times are
// microseconds.
#pragma once

#include "replica.h"

namespace ryeglade::policy {

// The factor, 0 to 1, by which the replica's limit is to be multiplied.
double CapacityFactor(const Replica& replica, Time now);

// Lowers that factor and starts a pause, by setting `at_capacity_until`. The pause is a part of
// `mean_runtime`, that of served requests, and lasts at least a tenth of `connect_timeout`.
void RecordAtCapacity(Replica& replica, Time now, double mean_runtime, Time connect_timeout);

}  // namespace ryeglade::policy
