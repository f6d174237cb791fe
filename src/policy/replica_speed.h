// How slow each replica is: ln(observed / expected runtime), 0 for a replica of ordinary speed. The estimate
// combines the replica's own answers, those of its kind and (in a large tier) its zone, and the reports of
// other nodes.
#pragma once

#include <vector>

#include "replica.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class ReplicaSpeed {
 public:
  // Bound of one answer, as ln: it counts as at most e^2 times slower or faster than expected.
  static constexpr double kMaxSlowness = 2.0;
  // The weight of the estimate from a replica's kind and zone, as a number of its own answers.
  static constexpr double kPriorWeight = 8;

  // The settings must outlive this object.
  explicit ReplicaSpeed(const Settings& settings) : settings_(settings) {}

  double Slowness(const Replica& replica, Time now) const;
  // The mean slowness of the replicas of a kind, shrunk towards 0; 0 for an unknown kind.
  double KindSlowness(int kind) const;
  // The share of the load that a replica of this slowness gets, relative to one of ordinary speed.
  static double LoadFactor(double slowness);

  // Counts an answer of the replica that took e^log_ratio times as long as expected. The answers of a replica
  // that is warming up are not counted for its kind.
  void Learn(Replica& replica, double log_ratio, Time now, bool warming_up);

  // Must be called after the settings' numbers of kinds and zones have changed.
  void ResizeTables();
  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  double ZoneSlowness(int zone, Time now) const;

  const Settings& settings_;
  std::vector<RunningAverage> slowness_by_kind_;
  std::vector<DecayingAverage> slowness_by_zone_;
};

}  // namespace ryeglade::policy
