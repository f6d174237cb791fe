// The concurrency limit of each replica and their sum. This node's share of a replica's limit is a real
// number: the base limit that adaptive concurrency has learned, times the replica's speed, less what "at
// capacity" answers, ejection and slow start take off. Writes Replica::concurrency_limit.
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
  // All must outlive it.
  struct Inputs {
    const Fleet& fleet;
    const TrafficShare& traffic_share;
    const AdaptiveConcurrency& concurrency;
    const ReplicaSpeed& speed;
    const SlowStart& slow_start;
    OutlierEjection& ejection;  // its panic threshold goes by the ready replicas counted here
    LoadReports& load_reports;  // their mean, of a fleet that is sampled, is over the replicas with a limit
  };
  explicit ReplicaLimits(const Inputs& inputs) : in_(inputs) {}

  // Recomputes the limits unless they are up to date.
  void Update(Time now);
  // The next Update recomputes them.
  void Invalidate() { updated_at_ = kNever; }
  // The same, but limits of a fleet that is sampled may be a little old: they are recomputed by time, not for
  // each thing learned.
  void InvalidateUnlessSampling();
  // Takes a replica out until the next recomputation.
  void Exclude(Replica& replica);

  // Whether the replica may get another attempt now, whatever the request.
  bool HasCapacity(const Replica& replica, Time now) const;

  double total() const { return total_; }
  // Of a fleet that is sampled: the replicas that had a limit at the last recomputation. Invalidate after the
  // fleet has changed.
  const std::vector<Replica*>& available() const { return available_; }

 private:
  static constexpr Time kNever = -1;

  Inputs in_;
  double total_ = 0;
  Time updated_at_ = kNever;
  std::vector<Replica*> available_;
};

}  // namespace ryeglade::policy
