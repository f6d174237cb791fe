#include "outlier_ejection.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::policy {
namespace {

constexpr Time kBaseEjection = 1'000'000;  // doubled by each further consecutive failure
constexpr Time kMaxEjection = 8'000'000;
constexpr int kMaxDoublings = 6;
constexpr double kPanicThreshold = 0.4;  // of the ready replicas

}  // namespace

std::optional<Time> OutlierEjection::RecordFailure(Replica& replica, Outcome outcome, Time now,
                                                   RandomSource& random) {
  ++replica.consecutive_failures;
  // A single failure proves nothing. Where any replica breaks a stream now and then, ejecting each of them
  // would cost more capacity than the failures do. Only a replica that can't be reached is ejected at once.
  if (replica.consecutive_failures < 2 && outcome != Outcome::kConnectFailed) return std::nullopt;
  const double doubled = static_cast<double>(kBaseEjection) *
                         std::pow(2.0, std::min(replica.consecutive_failures - 1, kMaxDoublings));
  const double mean = std::min(doubled, static_cast<double>(kMaxEjection));
  replica.ejected_until = now + static_cast<Time>(mean * (0.75 + 0.5 * random.Next()));
  return replica.ejected_until;
}

bool OutlierEjection::IsEjected(const Replica& replica, Time now) {
  return std::max(replica.ejected_until, replica.peer_report.ejected_until) > now;
}

void OutlierEjection::UpdatePanic(std::size_t ejected, std::size_t ready) {
  enforced_ = static_cast<double>(ejected) <= kPanicThreshold * static_cast<double>(ready);
}

}  // namespace ryeglade::policy
