#include "replica_selector.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::policy {
namespace {

// The cost of a request, in prompt tokens.
constexpr double kMinCost = 300;  // added to the tokens to prefill
// Added for another zone if the penalty is kUsualCrossZonePenalty, and in proportion for other penalties.
constexpr double kCrossZoneCost = 800;
constexpr double kUsualCrossZonePenalty = 0.08;
constexpr double kRetryCostFactor = 5;  // for a replica that was tried before, so that any other is preferred

// A replica slower than its kind by a factor f is assumed to be utilized f^kSlowReplicaLoad times as much.
constexpr double kSlowReplicaLoad = 0.5;
constexpr double kMaxUtilization = 0.8;  // upper bound of the utilization assumed without reports
constexpr double kMinSpareShare = 0.01;  // lower bound of the spare share of a replica's limit
// Among the scores this close to the best, the replica is drawn at random, weighted by limit.
constexpr double kTieTolerance = 0.02;

}  // namespace

ReplicaSelector::ReplicaSelector(const Inputs& inputs)
    : inputs_(inputs),
      finder_(
          {inputs.settings, inputs.fleet, inputs.limits, inputs.speed, inputs.load_reports, inputs.random}) {}

Replica* ReplicaSelector::Select(const Request& request, Time now) {
  const RequestArrived& arrival = request.arrival;
  const double prefix_share = arrival.prefix != 0 ? inputs_.affinity.TrafficShareOf(arrival.prefix, now) : 0;
  const double session_share =
      arrival.session != 0 ? inputs_.affinity.RecentTrafficShareOf(arrival.session, now) : 0;
  finder_.Find(arrival, prefix_share, session_share, now, candidates_);
  if (candidates_.empty()) return nullptr;

  const std::size_t available =
      inputs_.fleet.UsesSampling() ? inputs_.limits.available().size() : candidates_.size();
  const Context context = {
      request, now,
      std::min(kMaxUtilization, inputs_.fleet.in_flight() / std::max(inputs_.limits.total(), 1e-9)),
      PrefixAffinity::IsHot(session_share, static_cast<double>(available))};
  std::optional<double> best;
  for (Candidate& candidate : candidates_) {
    const Replica& replica = *candidate.replica;
    if (!inputs_.limits.HasCapacity(replica, now)) continue;
    if (!inputs_.retry_policy.MaySendTo(request, replica, now)) continue;
    candidate.score = Score(candidate, context);
    if (*candidate.score > best.value_or(-1)) best = candidate.score;
  }
  return best ? DrawAmongBest(*best) : nullptr;
}

// The spare share of the replica's limit, divided by the cost of the request at the replica.
double ReplicaSelector::Score(const Candidate& candidate, const Context& context) const {
  const Replica& replica = *candidate.replica;
  const double slowness = inputs_.speed.Slowness(replica, context.now);
  const double nodes = inputs_.traffic_share.equivalent_nodes();
  const double own =
      (replica.in_flight + replica.in_flight_elsewhere()) / (nodes * replica.concurrency_limit);
  const double others = OthersUtilization(replica, slowness, context);
  const double spare = std::max(kMinSpareShare, 1 - own - others * (nodes - 1) / nodes);
  return spare / Cost(candidate, slowness, context);
}

// The attempts of other nodes are not visible here. Their utilization of a replica is estimated by this
// node's mean utilization, higher for a replica that answers slowly, or by the load that the replica reports.
double ReplicaSelector::OthersUtilization(const Replica& replica, double slowness,
                                          const Context& context) const {
  const double slower_than_kind = slowness - inputs_.speed.KindSlowness(replica.endpoint.kind);
  const double utilization_without_report =
      context.utilization * std::exp(kSlowReplicaLoad * slower_than_kind);
  if (!LoadReports::HasReport(replica)) return utilization_without_report;
  const double freshness = LoadReports::Freshness(replica, context.now);
  return freshness * context.utilization * inputs_.load_reports.RelativeLoad(replica, context.now) +
         (1 - freshness) * utilization_without_report;
}

// The tokens to prefill before the request's first token: those of the attempts ahead of it, and those of its
// own prompt that the replica has not cached. The cost is higher for a replica that is slow, in another zone
// or was tried before.
double ReplicaSelector::Cost(const Candidate& candidate, double slowness, const Context& context) const {
  const Replica& replica = *candidate.replica;
  const Affinity affinity = {candidate.prefix_preferred, candidate.session_preferred, context.session_is_hot};
  const double tokens =
      replica.prefill_backlog_tokens +
      inputs_.affinity.TokensToPrefill(context.request.arrival, replica, affinity, context.now);
  double cost = tokens * std::exp(slowness) + kMinCost;
  if (AvoidsOtherZones(inputs_.settings) && replica.endpoint.zone != inputs_.settings.zone) {
    cost += kCrossZoneCost * inputs_.settings.cross_zone_penalty / kUsualCrossZonePenalty;
  }
  const std::vector<Attempt>& attempts = context.request.attempts;
  const bool tried = std::any_of(attempts.begin(), attempts.end(), [&](const Attempt& attempt) {
    return attempt.replica == replica.endpoint.id;
  });
  return tried ? cost * kRetryCostFactor : cost;
}

// Draws one of the candidates whose score is within kTieTolerance of the best, weighted by their limits.
Replica* ReplicaSelector::DrawAmongBest(double best_score) {
  const auto ties = [&](const Candidate& candidate) {
    return candidate.score && *candidate.score >= best_score * (1 - kTieTolerance);
  };
  double total_limit = 0;
  for (const Candidate& candidate : candidates_) {
    if (ties(candidate)) total_limit += candidate.replica->concurrency_limit;
  }
  double draw = inputs_.random.Next() * total_limit;
  Replica* chosen = nullptr;
  for (const Candidate& candidate : candidates_) {
    if (!ties(candidate)) continue;
    chosen = candidate.replica;
    draw -= chosen->concurrency_limit;
    if (draw <= 0) break;
  }
  return chosen;
}

double ReplicaSelector::TokensToPrefill(const Request& request, const Replica& chosen, Time now) const {
  const bool prefix_preferred = std::any_of(
      candidates_.begin(), candidates_.end(),
      [&](const Candidate& candidate) { return candidate.replica == &chosen && candidate.prefix_preferred; });
  return inputs_.affinity.TokensToPrefill(request.arrival, chosen, {prefix_preferred, false, false}, now);
}

DispatchRecord ReplicaSelector::Describe(const Request& request, const Replica& chosen, Time now) const {
  DispatchRecord record;
  record.id = request.id();
  record.attempt = static_cast<int>(request.attempts.size());
  record.replica = chosen.endpoint.id;
  record.estimated_runtime = request.estimated_runtime;
  record.queued_for = now - request.arrived_at;
  record.candidates = static_cast<int>(candidates_.size());
  record.concurrency_limit = chosen.concurrency_limit;
  record.in_flight = chosen.in_flight;
  record.tokens_to_prefill = TokensToPrefill(request, chosen, now);
  for (const Candidate& candidate : candidates_) {
    if (!candidate.score) continue;
    ++record.candidates_with_capacity;
    if (candidate.replica == &chosen) {
      record.score = *candidate.score;
    } else if (*candidate.score > record.runner_up_score) {
      record.runner_up = candidate.replica->endpoint.id;
      record.runner_up_score = *candidate.score;
    }
  }
  return record;
}

}  // namespace ryeglade::policy
