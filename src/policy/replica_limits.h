// Computes the concurrency limit of each replica (Replica::concurrency_limit) and their sum. This node's
// share of a replica's limit need not be an integer: it is the base limit that adaptive concurrency has
// learned, times a factor for the replica's speed, reduced after "at capacity" answers and during slow start,
// and 0 while the replica is ejected.
#pragma once

#include <vector>

#include "adaptive_concurrency.h"
#include "fleet.h"
#include "load_reports.h"
#include "outlier_ejection.h"
#include "replica_speed.h"
#include "slow_start.h"
#include "traffic_share.h"

namespace ryeglade::policy {

class ReplicaLimits {
 public:
  // All members must outlive the ReplicaLimits.
  struct Inputs {
    const Fleet& fleet;
    const TrafficShare& traffic_share;
    const AdaptiveConcurrency& concurrency;
    const ReplicaSpeed& speed;
    const SlowStart& slow_start;
    OutlierEjection& ejection;  // Update gives it the numbers of ready and ejected replicas
    // In a sampled fleet, Update sets the mean of the reports to that of the available replicas.
    LoadReports& load_reports;
  };
  explicit ReplicaLimits(const Inputs& inputs) : inputs_(inputs) {}

  // Recomputes the limits unless they are up to date.
  void Update(Time now);
  // Makes the next Update recompute the limits.
  void Invalidate() { updated_at_ = kNever; }
  // Does the same as Invalidate, except in a sampled fleet, whose limits may be slightly out of date: they
  // are recomputed at intervals rather than after each outcome.
  void InvalidateUnlessSampling();
  // Sets the replica's limit to 0 until the next recomputation, and subtracts it from the sum.
  void Exclude(Replica& replica);

  // Whether another attempt may be sent to the replica now, regardless of the request.
  bool HasCapacity(const Replica& replica, Time now) const;

  // The sum of all limits.
  double total() const { return total_; }
  // In a sampled fleet, the replicas that had a limit at the last recomputation; else empty. Call Invalidate
  // after the fleet has changed.
  const std::vector<Replica*>& available() const { return available_; }

 private:
  static constexpr Time kNever = -1;

  Inputs inputs_;
  double total_ = 0;
  Time updated_at_ = kNever;
  std::vector<Replica*> available_;
};

}  // namespace ryeglade::policy
