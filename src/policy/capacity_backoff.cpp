#include "capacity_backoff.h"

#include <algorithm>

namespace ryeglade::policy {
namespace {

constexpr double kLimitFactor = 0.7;       // one "at capacity" answer multiplies the replica's limit by this
constexpr double kMinLimitFactor = 0.1;    // lower bound of the product of these factors
constexpr Time kRecoveryTime = 5'000'000;  // the reduction of the limit decays to 1/e in this time
constexpr double kPauseShare = 0.05;       // the pause without new attempts, as a part of the mean runtime
constexpr Time kMaxPause = 500'000;

}  // namespace

double CapacityFactor(const Replica& replica, Time now) {
  return 1 - (1 - replica.capacity_factor) *
                 DecayingCounter::DecayFactor(now - replica.capacity_updated_at, kRecoveryTime);
}

void RecordAtCapacity(Replica& replica, Time now, double mean_runtime, Time connect_timeout) {
  replica.capacity_factor = std::max(kMinLimitFactor, CapacityFactor(replica, now) * kLimitFactor);
  replica.capacity_updated_at = now;
  replica.at_capacity_until =
      now + std::clamp<Time>(static_cast<Time>(kPauseShare * mean_runtime), connect_timeout / 10, kMaxPause);
}

}  // namespace ryeglade::policy
