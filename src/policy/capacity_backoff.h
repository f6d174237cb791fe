// Backoff from a replica that has answered "at capacity": nothing new for a moment, and a lower limit that
// recovers with time. Pure functions on the replica's learned state; microseconds.
#pragma once

#include "replica.h"

namespace ryeglade::policy {

// What part of the replica's limit is left, 0 to 1.
double CapacityFactor(const Replica& replica, Time now);

// Lowers the limit and sets `at_capacity_until`. `mean_runtime` is of served requests.
void RecordAtCapacity(Replica& replica, Time now, double mean_runtime, Time connect_timeout);

}  // namespace ryeglade::policy
