// Chooses the replica for a dispatch: the one with most spare capacity, counted in requests like this one. A
// request takes what must be read before its first token comes, so where its prompt is cached more of them
// fit.
#pragma once

#include <vector>

#include "candidate_finder.h"
#include "prefix_affinity.h"
#include "replica_limits.h"
#include "replica_speed.h"
#include "request.h"
#include "retry_policy.h"
#include "ryeglade/decision_observer.h"

namespace ryeglade::policy {

class ReplicaSelector {
 public:
  // All must outlive it.
  struct Inputs {
    const Settings& settings;
    const Fleet& fleet;
    const TrafficShare& traffic_share;
    const ReplicaLimits& limits;
    const ReplicaSpeed& speed;
    LoadReports& load_reports;
    const PrefixAffinity& affinity;
    const RetryPolicy& retry_policy;
    RandomSource& random;
  };
  explicit ReplicaSelector(const Inputs& inputs);

  // The replicas of the fleet have changed.
  void OnFleetChanged() { finder_.InvalidateRing(); }

  // Null: no replica that the request may be sent to has spare capacity. The limits are up to date.
  Replica* Select(const Request& request, Time now);

  // The following are of the request and the replica that Select has chosen last.

  // The tokens of the prompt that the replica is expected to read.
  double TokensToPrefill(const Request& request, const Replica& chosen, Time now) const;
  // What the choice rested on.
  DispatchRecord Describe(const Request& request, const Replica& chosen, Time now) const;

 private:
  // What all candidates of a request are scored by.
  struct Context {
    const Request& request;
    Time now;
    double utilization;  // of this node's limits, which stands for the other nodes' as well
    bool session_is_hot;
  };

  double Score(const Candidate& candidate, const Context& context) const;
  double OthersUtilization(const Replica& replica, double slowness, const Context& context) const;
  double Cost(const Candidate& candidate, double slowness, const Context& context) const;
  Replica* DrawAmongBest(double best_score);

  Inputs in_;
  CandidateFinder finder_;
  std::vector<Candidate> candidates_;  // of the last Select
};

}  // namespace ryeglade::policy
