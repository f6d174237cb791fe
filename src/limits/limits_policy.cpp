#include "limits/limits_policy.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::limits {
namespace {

constexpr double kMinute = 60e6;  // microseconds
// Rounding must not turn away what a wait that we named was long enough for.
constexpr double kGrain = 1e-9;

}  // namespace

void Limits::Fill(Bucket& bucket, double per_min, Time now) {
  if (bucket.at < 0) {
    bucket = {per_min, now};
    return;
  }
  const Time passed = std::max<Time>(0, now - bucket.at);  // time that steps back fills nothing
  bucket.level = std::min(per_min, bucket.level + per_min * static_cast<double>(passed) / kMinute);
  bucket.at = std::max(bucket.at, now);
}

Time Limits::Wait(const Bucket& bucket, double per_min, double want) {
  if (per_min <= 0 || bucket.level >= want) return 0;
  return static_cast<Time>(std::ceil((want - bucket.level) * kMinute / per_min));
}

Left Limits::Rest(const Key& key, const Rule& rule) {
  Left left;
  left.limit_requests = rule.requests_per_min;
  left.limit_tokens = rule.tokens_per_min;
  left.requests = std::max(0.0, std::floor(key.requests.level + kGrain));
  left.tokens = std::max(0.0, std::floor(key.tokens.level + kGrain));
  left.requests_full_in = Wait(key.requests, rule.requests_per_min, rule.requests_per_min);
  left.tokens_full_in = Wait(key.tokens, rule.tokens_per_min, rule.tokens_per_min);
  return left;
}

Answer Limits::Admit(Time now, const std::string& name, const Rule& rule, double tokens) {
  Key& key = keys_[name];
  key.forgotten = false;
  Fill(key.requests, rule.requests_per_min, now);
  Fill(key.tokens, rule.tokens_per_min, now);
  tokens = std::max(0.0, tokens);
  Answer answer;
  if (rule.tokens_per_min > 0 && tokens > rule.tokens_per_min) {
    answer.verdict = Verdict::kTooLarge;
  } else if (rule.requests_per_min > 0 && key.requests.level + kGrain < 1) {
    answer.verdict = Verdict::kRequests;
  } else if (rule.tokens_per_min > 0 && key.tokens.level + kGrain < tokens) {
    answer.verdict = Verdict::kTokens;
  } else if (rule.streams > 0 && key.streams >= rule.streams) {
    answer.verdict = Verdict::kStreams;
  }
  if (answer.verdict == Verdict::kAdmitted) {
    key.requests.level -= rule.requests_per_min > 0 ? 1 : 0;
    key.tokens.level -= rule.tokens_per_min > 0 ? tokens : 0;
    ++key.streams;
    key.reserved += tokens;
  } else if (answer.verdict != Verdict::kTooLarge) {
    // The longer of both, so that who comes back then is not turned away for the other.
    answer.retry_after =
        std::max(Wait(key.requests, rule.requests_per_min, 1), Wait(key.tokens, rule.tokens_per_min, tokens));
  }
  answer.left = Rest(key, rule);
  return answer;
}

bool Limits::Grow(Time now, const std::string& name, const Rule& rule, double tokens) {
  const auto it = keys_.find(name);
  if (it == keys_.end() || it->second.forgotten) return false;
  Key& key = it->second;
  Fill(key.tokens, rule.tokens_per_min, now);
  if (rule.tokens_per_min > 0) {
    if (key.tokens.level + kGrain < tokens) return false;
    key.tokens.level -= tokens;
  }
  key.reserved += tokens;
  return true;
}

void Limits::Settle(Time now, const std::string& name, const Rule& rule, double reserved, double used,
                    bool ran) {
  const auto it = keys_.find(name);
  if (it == keys_.end()) return;
  Key& key = it->second;
  key.streams = std::max(0, key.streams - 1);
  key.reserved = key.streams == 0 ? 0 : std::max(0.0, key.reserved - reserved);
  if (rule.tokens_per_min > 0) {
    Fill(key.tokens, rule.tokens_per_min, now);
    // Used may be more than reserved: the level then goes below zero, and is paid off before anything is
    // admitted; by a minute's worth at most, so that one wrong figure can't shut a key out for long.
    key.tokens.level =
        std::clamp(key.tokens.level + reserved - used, -rule.tokens_per_min, rule.tokens_per_min);
  }
  if (!ran && rule.requests_per_min > 0) {
    Fill(key.requests, rule.requests_per_min, now);
    key.requests.level = std::min(rule.requests_per_min, key.requests.level + 1);
  }
  if (key.forgotten && key.streams == 0) keys_.erase(it);
}

void Limits::Forget(const std::string& name) {
  const auto it = keys_.find(name);
  if (it == keys_.end()) return;
  it->second.forgotten = true;
  if (it->second.streams == 0) keys_.erase(it);
}

int Limits::streams(const std::string& name) const {
  const auto it = keys_.find(name);
  return it == keys_.end() ? 0 : it->second.streams;
}

double Limits::reserved(const std::string& name) const {
  const auto it = keys_.find(name);
  return it == keys_.end() ? 0 : it->second.reserved;
}

}  // namespace ryeglade::limits
