// How slow each replica is: ln(observed / expected runtime), 0 for one of ordinary speed. A replica's own
// answers count, beside what its kind and (in a large tier) its zone have shown and what other nodes report.
#pragma once

#include <vector>

#include "replica.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class ReplicaSpeed {
 public:
  // Bounds of one answer: it counts as at most e^2 times slower or faster than expected.
  static constexpr double kMaxSlowness = 2.0;
  // Answers that a replica's kind and zone are worth against its own.
  static constexpr double kPriorWeight = 8;

  // The settings must outlive it.
  explicit ReplicaSpeed(const Settings& settings) : settings_(settings) {}

  double Slowness(const Replica& replica, Time now) const;
  double KindSlowness(int kind) const;
  // The share of load of a replica of this slowness, against one of ordinary speed.
  static double LoadFactor(double slowness);

  // One answer of the replica took e^log_ratio times as long as expected. While a replica warms up its
  // answers tell nothing of its kind.
  void Learn(Replica& replica, double log_ratio, Time now, bool warming_up);

  // After a change of the settings' numbers of kinds and zones.
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
