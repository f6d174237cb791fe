#include "replica_speed.h"

#include <algorithm>
#include <cmath>
#include <cstddef>

#include "traffic_share.h"

namespace ryeglade::policy {
namespace {

// Decay time of the weight of a replica's answers: its load changes, so old answers say little about it.
constexpr Time kReplicaDecayTime = 10'000'000;
constexpr Time kZoneDecayTime = 5'000'000;  // decay time of a zone's answers
constexpr double kMaxKindSamples = 400;     // answers over which a kind's slowness is averaged
// A replica f times as slow gets f^-kSpeedPower of the load. It gets less than in proportion to its speed,
// because latency objectives are absolute.
constexpr double kSpeedPower = 1.7;

}  // namespace

double ReplicaSpeed::LoadFactor(double slowness) { return std::exp(-kSpeedPower * slowness); }

double ReplicaSpeed::KindSlowness(int kind) const {
  const auto k = static_cast<std::size_t>(kind);
  return k < slowness_by_kind_.size() ? slowness_by_kind_[k].Shrunk(0, kPriorWeight) : 0;
}

// Uneven traffic can overload all replicas of a zone, and a node of a large tier sees too few answers of each
// replica to learn that replica by replica.
double ReplicaSpeed::ZoneSlowness(int zone, Time now) const {
  if (!IsLargeTier(settings_)) return 0;
  const auto z = static_cast<std::size_t>(zone);
  return z < slowness_by_zone_.size() ? slowness_by_zone_[z].Shrunk(now, kZoneDecayTime, kPriorWeight) : 0;
}

double ReplicaSpeed::Slowness(const Replica& replica, Time now) const {
  const PeerReplicaReport& peers = replica.peer_report;
  const double own_samples =
      replica.slowness_samples *
      DecayingCounter::DecayFactor(now - replica.slowness_updated_at, kReplicaDecayTime);
  const double peer_samples =
      peers.slowness_samples * DecayingCounter::DecayFactor(now - replica.peer_report_at, kReplicaDecayTime);
  const double prior = KindSlowness(replica.endpoint.kind) + ZoneSlowness(replica.endpoint.zone, now);
  return (own_samples * replica.slowness + peer_samples * peers.slowness + kPriorWeight * prior) /
         (own_samples + peer_samples + kPriorWeight);
}

void ReplicaSpeed::Learn(Replica& replica, double log_ratio, Time now, bool warming_up) {
  const double sample = std::clamp(log_ratio, -kMaxSlowness, kMaxSlowness);
  replica.slowness_samples *=
      DecayingCounter::DecayFactor(now - replica.slowness_updated_at, kReplicaDecayTime);
  replica.slowness = (replica.slowness * replica.slowness_samples + sample) / (replica.slowness_samples + 1);
  replica.slowness_samples += 1;
  replica.slowness_updated_at = now;
  const auto kind = static_cast<std::size_t>(replica.endpoint.kind);
  if (kind < slowness_by_kind_.size() && !warming_up) slowness_by_kind_[kind].Add(sample, kMaxKindSamples);
  const auto zone = static_cast<std::size_t>(replica.endpoint.zone);
  if (zone < slowness_by_zone_.size()) slowness_by_zone_[zone].Add(now, kZoneDecayTime, sample);
}

void ReplicaSpeed::ResizeTables() {
  slowness_by_kind_.resize(static_cast<std::size_t>(std::max(1, settings_.replica_kind_count)));
  slowness_by_zone_.resize(static_cast<std::size_t>(std::max(1, settings_.zone_count)));
}

void ReplicaSpeed::ExportTo(LearnedState& state) const {
  state.slowness_by_kind = slowness_by_kind_;
  state.slowness_by_zone = slowness_by_zone_;
}

void ReplicaSpeed::RestoreFrom(const LearnedState& state) {
  slowness_by_kind_ = state.slowness_by_kind;
  slowness_by_zone_ = state.slowness_by_zone;
  ResizeTables();
}

}  // namespace ryeglade::policy
