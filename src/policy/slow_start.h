// Slow start of replicas that warm up after they have started: their capacity rises with their age, and all
// nodes of the tier together must stay inside it. Each node earns tokens for such a replica at its share of
// the rate that the replica can take now, and spends one a dispatch.
#pragma once

#include "replica.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class SlowStart {
 public:
  // The settings must outlive it.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // What part of its full capacity the replica has now; 1: it has warmed up.
  double Fraction(const Replica& replica, Time now) const;
  bool IsWarmingUp(const Replica& replica, Time now) const { return Fraction(replica, now) < 1; }

  // Whether the replica has warmed up or there is a token for a dispatch to it.
  bool MayDispatch(const Replica& replica, Time now) const;
  void RecordDispatch(Replica& replica, Time now);
  // Adds the tokens earned since the last time. `share` is the rate of dispatches a second that a replica
  // that has warmed up gets from this node.
  void EarnTokens(Replica& replica, double fraction, double share, Time now) const;

  // This node's dispatches a second, to all replicas.
  double DispatchRate(Time now) const;

  void ExportTo(LearnedState& state) const { state.dispatches = dispatches_; }
  void RestoreFrom(const LearnedState& state) { dispatches_ = state.dispatches; }

 private:
  const Settings& settings_;
  DecayingCounter dispatches_;
};

}  // namespace ryeglade::policy
