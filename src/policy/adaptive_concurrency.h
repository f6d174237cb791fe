// Adaptive concurrency: learns the base limit, which is how many attempts this node may have in flight at a
// replica of ordinary speed. The base limit rises while first tokens come well within their latency
// objectives and the limits are in use. It falls when many first tokens are late or streams run much slower
// than they did at their best. Times are microseconds.
#pragma once

#include <vector>

#include "request.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"
#include "traffic_share.h"

namespace ryeglade::policy {

// How much of the limits is in use at the time of an outcome.
struct LimitUsage {
  Time now = 0;
  int in_flight = 0;        // attempts, over all replicas
  double total_limit = 0;   // sum of the limits of all replicas
  double mean_runtime = 0;  // of served requests; the base limit falls at most once in this time
};

class AdaptiveConcurrency {
 public:
  // Both arguments must outlive this object.
  AdaptiveConcurrency(const Settings& settings, const TrafficShare& traffic_share);

  // This node's share of the limit of a replica of ordinary speed.
  double base_limit() const { return base_limit_; }

  // The Learn functions return whether the base limit has changed. `time_to_first_token` and `objective`, the
  // request's latency objective, are durations.
  bool LearnTimeToFirstToken(double time_to_first_token, double objective, const LimitUsage& usage);
  // A request that timed out or that a replica refused at capacity counts as one with a late first token.
  bool LearnLateResponse(const LimitUsage& usage);
  // A request was served. `runtime` is the time from sending the attempt to its end.
  bool LearnPace(const Request& request, Time runtime, const LimitUsage& usage);

  // Multiplies the limits by `factor`, because this node's share of the traffic has changed.
  void Scale(double factor);

  // Must be called after the settings' classes have changed.
  void ResizeTables();
  // LearnedState::node_count is an integer, so the limits are exported as those of a node whose share of the
  // traffic is 1 / the nearest whole number of nodes.
  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  double MinLimit() const;
  double MaxLimit() const;
  bool IsSaturated() const;
  bool LearnLateness(bool late, bool early, const LimitUsage& usage);
  void Increase(double total_limit);
  bool Decrease(double factor, const LimitUsage& usage);

  const Settings& settings_;
  const TrafficShare& traffic_share_;
  double base_limit_ = 0;
  double limit_before_decrease_ = 0;  // the base limit that last had to be decreased; 0: none yet
  Time decreased_at_ = 0;
  double late_share_ = 0;      // share of recent first tokens that were late
  double objective_used_ = 0;  // mean part of the latency objective that first tokens took
  double pace_slowdown_ = 0;   // mean ln(pace of the streams now / their best pace)
  std::vector<LearnedState::ClassPace> pace_by_class_;
};

}  // namespace ryeglade::policy
