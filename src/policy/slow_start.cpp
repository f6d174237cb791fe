#include "slow_start.h"

#include <algorithm>

namespace ryeglade::policy {
namespace {

constexpr double kMaxOverloadShare = 0.4;    // part of the overload factor that all nodes together use
constexpr Time kRateDecayTime = 20'000'000;  // decay time of the dispatches counted for their rate
constexpr double kMaxTokens = 1.0;           // the most tokens that can accumulate for a replica

}  // namespace

double SlowStart::Fraction(const Replica& replica, Time now) const {
  if (settings_.slow_start_window <= 0 || replica.endpoint.started_at <= 0) return 1;
  const double age = static_cast<double>(now - replica.endpoint.started_at) /
                     static_cast<double>(settings_.slow_start_window);
  if (age >= 1) return 1;
  return settings_.slow_start_min_share + (1 - settings_.slow_start_min_share) * std::max(0.0, age);
}

bool SlowStart::MayDispatch(const Replica& replica, Time now) const {
  return !IsWarmingUp(replica, now) || !(replica.slow_start_tokens < 1);
}

void SlowStart::RecordDispatch(Replica& replica, Time now) {
  dispatches_.Add(now, kRateDecayTime, 1);
  if (IsWarmingUp(replica, now)) replica.slow_start_tokens -= 1;
}

void SlowStart::EarnTokens(Replica& replica, double fraction, double warm_rate, Time now) const {
  replica.slow_start_tokens =
      std::min(kMaxTokens, replica.slow_start_tokens +
                               kMaxOverloadShare * settings_.overload_factor * fraction * warm_rate *
                                   static_cast<double>(now - replica.slow_start_updated_at) / 1e6);
  replica.slow_start_updated_at = now;
}

double SlowStart::DispatchRate(Time now) const {
  return dispatches_.ValueAt(now, kRateDecayTime) / (static_cast<double>(kRateDecayTime) / 1e6);
}

}  // namespace ryeglade::policy
