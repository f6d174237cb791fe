// Slow start of replicas that warm up after their start: their capacity rises with their age, and all nodes
// of the tier together must stay within it. For each such replica a node earns tokens at its share of the
// rate that the replica can take now, and spends one token for each dispatch.
#pragma once

#include "replica.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

class SlowStart {
 public:
  // The settings must outlive this object.
  explicit SlowStart(const Settings& settings) : settings_(settings) {}

  // The part of its full capacity that the replica has now; 1: it has warmed up.
  double Fraction(const Replica& replica, Time now) const;
  bool IsWarmingUp(const Replica& replica, Time now) const { return Fraction(replica, now) < 1; }

  // Whether the replica has warmed up or there is a token for a dispatch to it.
  bool MayDispatch(const Replica& replica, Time now) const;
  void RecordDispatch(Replica& replica, Time now);
  // Adds the tokens earned since the last call. `fraction` is as returned by Fraction, and `warm_rate` is the
  // number of dispatches per second that a replica which has warmed up gets from this node.
  void EarnTokens(Replica& replica, double fraction, double warm_rate, Time now) const;

  // This node's dispatches per second, to all replicas.
  double DispatchRate(Time now) const;

  void ExportTo(LearnedState& state) const { state.dispatches = dispatches_; }
  void RestoreFrom(const LearnedState& state) { dispatches_ = state.dispatches; }

 private:
  const Settings& settings_;
  DecayingCounter dispatches_;
};

}  // namespace ryeglade::policy
