#include "replica_limits.h"

#include <algorithm>
#include <cmath>

#include "capacity_backoff.h"

namespace ryeglade::policy {
namespace {

// The minimum time between two recomputations in a sampled fleet is this, in microseconds, times the number
// of replicas.
constexpr Time kUpdateIntervalPerReplica = 10;
// Standard deviations by which a node may exceed its share of a replica's limit if there are other nodes.
constexpr double kShareDeviations = 2;

}  // namespace

void ReplicaLimits::InvalidateUnlessSampling() {
  if (!inputs_.fleet.UsesSampling()) Invalidate();
}

void ReplicaLimits::Update(Time now) {
  if (updated_at_ == now) return;
  const bool sampling = inputs_.fleet.UsesSampling();
  const Time interval = kUpdateIntervalPerReplica * static_cast<Time>(inputs_.fleet.size());
  if (sampling && updated_at_ >= 0 && now - updated_at_ < interval) return;
  updated_at_ = now;
  available_.clear();
  inputs_.load_reports.ResetMean();

  std::size_t ready = 0;
  std::size_t ejected = 0;
  double mean_slowness = 0;
  for (const auto& replica : inputs_.fleet.replicas()) {
    if (!replica->ready) continue;
    ++ready;
    mean_slowness += inputs_.speed.Slowness(*replica, now);
    if (OutlierEjection::IsEjected(*replica, now)) ++ejected;
  }
  inputs_.ejection.UpdatePanic(ejected, ready);
  mean_slowness /= std::max(1.0, static_cast<double>(ready));

  const double dispatch_rate = inputs_.slow_start.DispatchRate(now);
  total_ = 0;
  for (const auto& replica : inputs_.fleet.replicas()) {
    replica->concurrency_limit = 0;
    if (!replica->ready || !inputs_.ejection.MayDispatch(*replica, now)) continue;
    // The base limit already reflects how slow the fleet is as a whole, so only the difference from the mean
    // slowness counts here. Otherwise all limits would shrink after a start, when the short answers are
    // complete first and the long ones follow.
    const double speed = ReplicaSpeed::LoadFactor(inputs_.speed.Slowness(*replica, now) - mean_slowness);
    const double warm_fraction = inputs_.slow_start.Fraction(*replica, now);
    replica->concurrency_limit =
        inputs_.concurrency.base_limit() * speed * CapacityFactor(*replica, now) * warm_fraction;
    total_ += replica->concurrency_limit;
    if (sampling) {
      available_.push_back(replica.get());
      inputs_.load_reports.CountTowardsMean(*replica, now);
    }
    if (warm_fraction < 1) {
      inputs_.slow_start.EarnTokens(*replica, warm_fraction, dispatch_rate / static_cast<double>(ready), now);
    }
  }
}

void ReplicaLimits::Exclude(Replica& replica) {
  total_ = std::max(0.0, total_ - replica.concurrency_limit);
  replica.concurrency_limit = 0;
}

bool ReplicaLimits::HasCapacity(const Replica& replica, Time now) const {
  if (replica.concurrency_limit <= 0 || replica.at_capacity_until > now) return false;
  // After repeated failures the replica gets one attempt at a time until it has served one.
  if (replica.consecutive_failures > 1 && replica.in_flight > 0) return false;
  if (!inputs_.slow_start.MayDispatch(replica, now)) return false;
  // A node's share of a limit, possibly less than one attempt, is the mean over all nodes. A node may deviate
  // from it, as the deviations of the nodes cancel out and the sum of the limits bounds them together. A
  // single node has the whole limit and no deviation.
  const double others_share = 1 - 1.0 / inputs_.traffic_share.equivalent_nodes();
  const double deviation = kShareDeviations * std::sqrt(replica.concurrency_limit * others_share);
  return replica.in_flight + replica.in_flight_elsewhere() <
         std::max(1.0, replica.concurrency_limit + deviation);
}

}  // namespace ryeglade::policy
