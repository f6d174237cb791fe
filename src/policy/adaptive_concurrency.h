// Adaptive concurrency: the base limit, which is how many attempts a replica of ordinary speed may have in
// flight from this node. It rises while first tokens come well within their objectives and the limits are in
// use, and falls when many first tokens are late or streams run much slower than they can. Microseconds.
#pragma once

#include <vector>

#include "request.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"
#include "traffic_share.h"

namespace ryeglade::policy {

// What the limits are used for at the time of an answer.
struct LimitUsage {
  Time now = 0;
  int in_flight = 0;        // over all replicas
  double total_limit = 0;   // over all replicas
  double mean_runtime = 0;  // of served requests: the limit falls at most once in such a span
};

class AdaptiveConcurrency {
 public:
  // Both must outlive it.
  AdaptiveConcurrency(const Settings& settings, const TrafficShare& traffic_share);

  // This node's share of the limit of a replica of ordinary speed.
  double base_limit() const { return base_limit_; }

  // Each returns whether the base limit has changed.
  bool LearnTimeToFirstToken(double time_to_first_token, double objective, const LimitUsage& usage);
  // A request that timed out or was turned down at capacity counts as one whose first token was late.
  bool LearnLateResponse(const LimitUsage& usage);
  // A served request; `runtime` is of the whole attempt.
  bool LearnPace(const Request& request, Time runtime, const LimitUsage& usage);

  // Multiplies the limits, as this node's share of the traffic has changed.
  void Scale(double factor);

  // After a change of the settings' classes.
  void ResizeTables();
  // Limits are handed on as those of a node whose share is one of a whole number of nodes.
  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  double MinLimit() const;
  double MaxLimit() const;
  bool IsSaturated() const;
  bool LearnLateness(bool late, bool in_good_time, const LimitUsage& usage);
  void Increase(double total_limit);
  bool Decrease(double factor, const LimitUsage& usage);

  const Settings& settings_;
  const TrafficShare& traffic_share_;
  double base_limit_ = 0;
  double limit_before_decrease_ = 0;  // the base limit above which it fell last; 0: never
  Time decreased_at_ = 0;
  double late_share_ = 0;      // of recent first tokens
  double objective_used_ = 0;  // mean part of its objective that a first token takes
  double pace_slowdown_ = 0;   // mean ln of how much slower streams run than at their best
  std::vector<LearnedState::ClassPace> pace_by_class_;
};

}  // namespace ryeglade::policy
