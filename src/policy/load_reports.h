// The load that replicas report of themselves, relative to the mean of the reports: requests in flight if the
// reports contain them, else utilization. A report counts less the older it is.
#pragma once

#include <vector>

#include "replica.h"
#include "replica_speed.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class LoadReports {
 public:
  // Both arguments must outlive this object.
  LoadReports(const Settings& settings, const ReplicaSpeed& speed) : settings_(settings), speed_(speed) {}

  // Stores a report, whose numbers are in the order of Settings::load_fields. It may have fewer numbers, or
  // none.
  void Record(Replica& replica, const std::vector<double>& report, Time now);

  // The mean load is that of the replicas counted since the last ResetMean.
  void ResetMean();
  void CountTowardsMean(const Replica& replica, Time now);

  static bool HasReport(const Replica& replica) { return replica.reported_load >= 0; }
  // The weight, 0 to 1, of the replica's last report, by its age.
  static double Freshness(const Replica& replica, Time now);
  // The replica's load divided by the mean, within bounds.
  double RelativeLoad(const Replica& replica, Time now) const;

 private:
  // The reported load; requests in flight are adjusted for the replica's speed.
  double ComparableLoad(const Replica& replica, Time now) const;

  const Settings& settings_;
  const ReplicaSpeed& speed_;
  bool reports_in_flight_ = false;  // whether reports contain requests in flight; false: utilization
  double load_sum_ = 0;             // of the counted replicas, weighted by freshness
  double weight_sum_ = 0;
};

}  // namespace ryeglade::policy
