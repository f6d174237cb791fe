#include "capacity_backoff.h"

#include <algorithm>

namespace ryeglade::policy {
namespace {

constexpr double kLimitFactor = 0.7;     // one answer lowers the replica's limit by this factor
constexpr double kMinLimitFactor = 0.1;  // of all such answers together
constexpr Time kRecovery = 5'000'000;    // this long later most of that is forgotten
constexpr double kPauseShare = 0.05;     // the replica gets nothing new for this part of a mean runtime
constexpr Time kMaxPause = 500'000;

}  // namespace

double CapacityFactor(const Replica& replica, Time now) {
  return 1 - (1 - replica.capacity_factor) *
                 DecayingCounter::DecayFactor(now - replica.capacity_updated_at, kRecovery);
}

void RecordAtCapacity(Replica& replica, Time now, double mean_runtime, Time connect_timeout) {
  replica.capacity_factor = std::max(kMinLimitFactor, CapacityFactor(replica, now) * kLimitFactor);
  replica.capacity_updated_at = now;
  replica.at_capacity_until =
      now + std::clamp<Time>(static_cast<Time>(kPauseShare * mean_runtime), connect_timeout / 10, kMaxPause);
}

}  // namespace ryeglade::policy
