#include "limits/limits_policy.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::limits {
namespace {

constexpr double kMinuteUs = 60e6;
// In requests or tokens. Without this slack, a rounding error could reject a request that is sent exactly
// after `retry_after`.
constexpr double kRoundingSlack = 1e-9;

}  // namespace

void RateLimiter::Refill(Bucket& bucket, double per_min, Time now) {
  if (bucket.filled_at < 0) {
    bucket = {per_min, now};
    return;
  }
  const Time passed = std::max<Time>(0, now - bucket.filled_at);  // a clock that steps back adds nothing
  bucket.level = std::min(per_min, bucket.level + per_min * static_cast<double>(passed) / kMinuteUs);
  bucket.filled_at = std::max(bucket.filled_at, now);
}

Time RateLimiter::TimeUntil(const Bucket& bucket, double per_min, double wanted_level) {
  if (per_min <= 0 || bucket.level >= wanted_level) return 0;
  return static_cast<Time>(std::ceil((wanted_level - bucket.level) * kMinuteUs / per_min));
}

RemainingQuota RateLimiter::Remaining(const KeyState& key, const KeyLimits& limits) {
  RemainingQuota remaining;
  remaining.request_limit = limits.requests_per_min;
  remaining.token_limit = limits.tokens_per_min;
  remaining.requests = std::max(0.0, std::floor(key.requests.level + kRoundingSlack));
  remaining.tokens = std::max(0.0, std::floor(key.tokens.level + kRoundingSlack));
  remaining.requests_reset_after = TimeUntil(key.requests, limits.requests_per_min, limits.requests_per_min);
  remaining.tokens_reset_after = TimeUntil(key.tokens, limits.tokens_per_min, limits.tokens_per_min);
  return remaining;
}

AdmissionResult RateLimiter::Admit(Time now, const std::string& name, const KeyLimits& limits,
                                   double tokens) {
  KeyState& key = keys_[name];
  key.forgotten = false;
  Refill(key.requests, limits.requests_per_min, now);
  Refill(key.tokens, limits.tokens_per_min, now);
  tokens = std::max(0.0, tokens);
  AdmissionResult result;
  if (limits.tokens_per_min > 0 && tokens > limits.tokens_per_min) {
    result.admission = Admission::kRequestTooLarge;
  } else if (limits.requests_per_min > 0 && key.requests.level + kRoundingSlack < 1) {
    result.admission = Admission::kOverRequests;
  } else if (limits.tokens_per_min > 0 && key.tokens.level + kRoundingSlack < tokens) {
    result.admission = Admission::kOverTokens;
  } else if (limits.streams > 0 && key.streams >= limits.streams) {
    result.admission = Admission::kOverStreams;
  }
  if (result.admission == Admission::kAdmitted) {
    key.requests.level -= limits.requests_per_min > 0 ? 1 : 0;
    key.tokens.level -= limits.tokens_per_min > 0 ? tokens : 0;
    ++key.streams;
    key.reserved += tokens;
  } else if (result.admission != Admission::kRequestTooLarge) {
    // The longer of the two waits, so that the retry is not rejected by the other limit.
    result.retry_after = std::max(TimeUntil(key.requests, limits.requests_per_min, 1),
                                  TimeUntil(key.tokens, limits.tokens_per_min, tokens));
  }
  result.remaining = Remaining(key, limits);
  return result;
}

bool RateLimiter::ReserveMore(Time now, const std::string& name, const KeyLimits& limits, double tokens) {
  const auto it = keys_.find(name);
  if (it == keys_.end() || it->second.forgotten) return false;
  KeyState& key = it->second;
  Refill(key.tokens, limits.tokens_per_min, now);
  if (limits.tokens_per_min > 0) {
    if (key.tokens.level + kRoundingSlack < tokens) return false;
    key.tokens.level -= tokens;
  }
  key.reserved += tokens;
  return true;
}

void RateLimiter::Settle(Time now, const std::string& name, const KeyLimits& limits, double reserved,
                         double used, bool forwarded) {
  const auto it = keys_.find(name);
  if (it == keys_.end()) return;
  KeyState& key = it->second;
  key.streams = std::max(0, key.streams - 1);
  key.reserved = key.streams == 0 ? 0 : std::max(0.0, key.reserved - reserved);
  if (limits.tokens_per_min > 0) {
    Refill(key.tokens, limits.tokens_per_min, now);
    // More tokens may have been used than reserved. The level then becomes negative, and nothing is admitted
    // until it has refilled. It is bounded by one minute's quota, so that one wrong usage figure cannot lock
    // out a key for long.
    key.tokens.level =
        std::clamp(key.tokens.level + reserved - used, -limits.tokens_per_min, limits.tokens_per_min);
  }
  if (!forwarded && limits.requests_per_min > 0) {
    Refill(key.requests, limits.requests_per_min, now);
    key.requests.level = std::min(limits.requests_per_min, key.requests.level + 1);
  }
  if (key.forgotten && key.streams == 0) keys_.erase(it);
}

void RateLimiter::Forget(const std::string& name) {
  const auto it = keys_.find(name);
  if (it == keys_.end()) return;
  it->second.forgotten = true;
  if (it->second.streams == 0) keys_.erase(it);
}

int RateLimiter::streams(const std::string& name) const {
  const auto it = keys_.find(name);
  return it == keys_.end() ? 0 : it->second.streams;
}

double RateLimiter::reserved(const std::string& name) const {
  const auto it = keys_.find(name);
  return it == keys_.end() ? 0 : it->second.reserved;
}

}  // namespace ryeglade::limits
