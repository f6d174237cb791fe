// Chooses the replica for a dispatch: the one with the most spare capacity, measured in requests like this
// one. The cost of a request is the number of tokens to prefill before its first token, so a replica that has
// cached its prompt has room for more of them.
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
  // All members must outlive the ReplicaSelector.
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

  // Must be called after the replicas of the fleet have changed.
  void OnFleetChanged() { finder_.InvalidateRing(); }

  // Returns null if no replica that may serve the request has capacity. The limits must be up to date.
  Replica* Select(const Request& request, Time now);

  // The following two must be called with the request of the last Select and the replica that it returned.

  // The number of prompt tokens that the replica is expected to prefill.
  double TokensToPrefill(const Request& request, const Replica& chosen, Time now) const;
  // The figures by which the replica was chosen.
  DispatchRecord Describe(const Request& request, const Replica& chosen, Time now) const;

 private:
  // The inputs to the scores that are the same for all candidates of a request.
  struct Context {
    const Request& request;
    Time now;
    double utilization;  // of this node's limits, taken as an estimate for the other nodes as well
    bool session_is_hot;
  };

  double Score(const Candidate& candidate, const Context& context) const;
  double OthersUtilization(const Replica& replica, double slowness, const Context& context) const;
  double Cost(const Candidate& candidate, double slowness, const Context& context) const;
  Replica* DrawAmongBest(double best_score);

  Inputs inputs_;
  CandidateFinder finder_;
  std::vector<Candidate> candidates_;  // of the last Select
};

}  // namespace ryeglade::policy
