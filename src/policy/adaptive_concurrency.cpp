#include "adaptive_concurrency.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::policy {
namespace {

// Bounds of the limit of a replica of ordinary speed, in attempts in flight.
constexpr double kInitialLimit = 16;           // over all nodes, before anything is known
constexpr double kLargeTierInitialFactor = 4;  // the initial limit is multiplied by this in a large tier
constexpr double kMinLimit = 2;                // over all nodes
constexpr double kMaxLimit = 256;              // over all nodes; in a large tier at each node, see MaxLimit()

// Increase.
// The share by which limits rise in one round, which has as many answers as the sum of the limits.
constexpr double kIncreasePerRound = 0.4;
// The same while the limit is below kRecoveredShare of the one that last had to be decreased, and before the
// first decrease.
constexpr double kInitialIncreasePerRound = 0.9;
constexpr double kRecoveredShare = 0.7;
// Limits do not rise while a smaller part of them is in use, because they have not been tested then.
constexpr double kMinUtilization = 0.85;
// No increase while first tokens take more than this part of their objectives on average.
constexpr double kMaxObjectiveUsedToRise = 0.3;

// Decrease.
constexpr double kDecreaseFactor = 0.85;  // applied at most once per mean runtime
constexpr double kMaxLateShare = 0.25;    // limits fall if a larger share of recent first tokens is late
constexpr double kLateThreshold = 0.8;    // part of its objective after which a first token is late
// Weights of the newest sample in the moving averages.
constexpr double kLatenessWeight = 0.05;      // share of late first tokens, and slowdown of the streams
constexpr double kObjectiveUsedWeight = 0.1;  // mean part of the objective used
// Replicas are saturated if streams are slower than at their best by more than this factor and first tokens
// take more than kMinObjectiveUsedToSaturate of their objectives on average.
constexpr double kSaturationSlowdown = 2.0;
constexpr double kMinObjectiveUsedToSaturate = 0.15;
constexpr double kMinDecreaseFactor = 0.5;  // one decrease multiplies the limit by no less than this

// Pace.
constexpr double kMaxPaceSamples = 25;  // answers of a class over which its current pace is averaged
constexpr double kMinPaceSamples = 8;   // answers needed before a class has a best pace
// Added to the best pace (ln) by each answer, so that an outdated best does not stay for ever.
constexpr double kBestPaceLeak = 0.002;

}  // namespace

// The initial limit is higher in a large tier: traffic is spread unevenly over many nodes, so their shares of
// a limit are never all in use at the same time.
AdaptiveConcurrency::AdaptiveConcurrency(const Settings& settings, const TrafficShare& traffic_share)
    : settings_(settings), traffic_share_(traffic_share) {
  const double initial = IsLargeTier(settings) ? kLargeTierInitialFactor * kInitialLimit : kInitialLimit;
  base_limit_ = initial / traffic_share.equivalent_nodes();
}

double AdaptiveConcurrency::MinLimit() const { return kMinLimit / traffic_share_.equivalent_nodes(); }

// In a large tier one node may have most of the traffic, so its limit is not bounded by its share.
double AdaptiveConcurrency::MaxLimit() const {
  return IsLargeTier(settings_) ? kMaxLimit : kMaxLimit / traffic_share_.equivalent_nodes();
}

bool AdaptiveConcurrency::LearnTimeToFirstToken(double time_to_first_token, double objective,
                                                const LimitUsage& usage) {
  const double used = std::min(1.0, time_to_first_token / std::max(1.0, objective));
  objective_used_ += kObjectiveUsedWeight * (used - objective_used_);
  return LearnLateness(time_to_first_token > kLateThreshold * objective,
                       time_to_first_token < 0.5 * kLateThreshold * objective, usage);
}

bool AdaptiveConcurrency::LearnLateResponse(const LimitUsage& usage) {
  return LearnLateness(true, false, usage);
}

bool AdaptiveConcurrency::LearnLateness(bool late, bool early, const LimitUsage& usage) {
  late_share_ += kLatenessWeight * ((late ? 1.0 : 0.0) - late_share_);
  if (late_share_ > kMaxLateShare) return late && Decrease(kDecreaseFactor, usage);
  if (!early || objective_used_ >= kMaxObjectiveUsedToRise) return false;
  if (usage.in_flight < kMinUtilization * usage.total_limit) return false;
  Increase(usage.total_limit);
  return true;
}

void AdaptiveConcurrency::Increase(double total_limit) {
  const bool near_last_decrease =
      limit_before_decrease_ > 0 && base_limit_ > kRecoveredShare * limit_before_decrease_;
  const double per_round = near_last_decrease ? kIncreasePerRound : kInitialIncreasePerRound;
  base_limit_ = std::min(MaxLimit(), base_limit_ * (1 + per_round / std::max(1.0, total_limit)));
}

bool AdaptiveConcurrency::Decrease(double factor, const LimitUsage& usage) {
  if (static_cast<double>(usage.now - decreased_at_) <= usage.mean_runtime) return false;
  limit_before_decrease_ = std::max(base_limit_, kRecoveredShare * limit_before_decrease_);
  base_limit_ = std::max(MinLimit(), base_limit_ * factor);
  decreased_at_ = usage.now;
  return true;
}

bool AdaptiveConcurrency::IsSaturated() const {
  return pace_slowdown_ > std::log(kSaturationSlowdown) && objective_used_ > kMinObjectiveUsedToSaturate;
}

// A replica that batches its requests accepts more than it can serve at full pace long before its first
// tokens are late: every stream slows down. Each class is compared with the best pace that it has shown.
bool AdaptiveConcurrency::LearnPace(const Request& request, Time runtime, const LimitUsage& usage) {
  const Time streaming = request.response_started ? runtime - request.time_to_first_token : runtime;
  const double work = request.arrival.cost_hint > 0 ? static_cast<double>(request.arrival.cost_hint) : 1.0;
  LearnedState::ClassPace& pace = pace_by_class_[request.class_index()];
  pace.current.Add(std::log(std::max(1.0, static_cast<double>(streaming)) / work), kMaxPaceSamples);
  if (pace.current.samples < kMinPaceSamples) return false;
  pace.best = std::min(pace.best + kBestPaceLeak, pace.current.mean);
  pace_slowdown_ += kLatenessWeight * (pace.current.mean - pace.best - pace_slowdown_);
  if (!IsSaturated()) return false;
  return Decrease(std::max(kMinDecreaseFactor, kSaturationSlowdown / std::exp(pace_slowdown_)), usage);
}

void AdaptiveConcurrency::Scale(double factor) {
  base_limit_ *= factor;
  limit_before_decrease_ *= factor;
}

void AdaptiveConcurrency::ResizeTables() { pace_by_class_.resize(settings_.classes.size()); }

void AdaptiveConcurrency::ExportTo(LearnedState& state) const {
  const double nodes = traffic_share_.equivalent_nodes();
  state.node_count = std::max(1, static_cast<int>(std::lround(nodes)));
  state.base_limit = base_limit_ * (nodes / state.node_count);
  state.limit_before_decrease = limit_before_decrease_ * (nodes / state.node_count);
  state.limit_decreased_at = decreased_at_;
  state.late_share = late_share_;
  state.objective_used = objective_used_;
  state.pace_slowdown = pace_slowdown_;
  state.pace_by_class = pace_by_class_;
}

void AdaptiveConcurrency::RestoreFrom(const LearnedState& state) {
  const double exported_nodes = std::max(1, state.node_count);
  const double nodes = traffic_share_.equivalent_nodes();
  base_limit_ = std::clamp(state.base_limit * exported_nodes / nodes, MinLimit(), kMaxLimit / nodes);
  limit_before_decrease_ = state.limit_before_decrease * (exported_nodes / nodes);
  decreased_at_ = state.limit_decreased_at;
  late_share_ = state.late_share;
  objective_used_ = state.objective_used;
  pace_slowdown_ = state.pace_slowdown;
  pace_by_class_ = state.pace_by_class;
  ResizeTables();
}

}  // namespace ryeglade::policy
