#include "prefix_affinity.h"

#include <algorithm>
#include <bit>
#include <cmath>

#include "hashing.h"
#include "traffic_share.h"

namespace ryeglade::policy {
namespace {

// Traffic by key.
constexpr Time kLongTermDecayTime = 60'000'000;
constexpr Time kShortTermDecayTime = 5'000'000;  // for detecting that a key gets hot
constexpr double kMinArrivals = 8.0;             // counts are divided by at least this many arrivals
// Keys with fewer than kMinTrafficToKeep arrivals are removed once there are more than kMinKeysToPrune keys
// and more than kKeysPerArrivalToPrune for each counted arrival.
constexpr std::size_t kMinKeysToPrune = 1024;
constexpr std::size_t kKeysPerArrivalToPrune = 4;
constexpr double kMinTrafficToKeep = 0.3;

// Preferred replicas of a key: its share of the traffic times the number of replicas, times this.
constexpr double kPreferredSpread = 4.0;

// Cached prefixes.
constexpr Time kCacheLifetime = 30'000'000;  // how long a prompt is assumed to stay in a cache
constexpr std::size_t kMaxCachedPrefixes = 16384;
// The probability that a preferred replica to which this node has not sent the prefix has it in its cache.
constexpr double kPrefixHitProbability = 0.7;
constexpr double kSessionHitProbability = 0.5;  // the same for the whole prompt of a session

}  // namespace

void PrefixAffinity::CountArrival(const RequestArrived& request, Time now) {
  arrivals_long_term_.Add(now, kLongTermDecayTime, 1);
  arrivals_short_term_.Add(now, kShortTermDecayTime, 1);
  for (const std::uint64_t key : {request.prefix, request.session}) {
    if (key == 0) continue;
    LearnedState::KeyTraffic& traffic = key_traffic_[key];
    traffic.long_term.Add(now, kLongTermDecayTime, 1);
    traffic.short_term.Add(now, kShortTermDecayTime, 1);
  }
  if (key_traffic_.size() <= kMinKeysToPrune) return;
  if (key_traffic_.size() <= kKeysPerArrivalToPrune * static_cast<std::size_t>(arrivals_long_term_.value)) {
    return;
  }
  std::erase_if(key_traffic_, [&](const auto& entry) {
    return entry.second.long_term.ValueAt(now, kLongTermDecayTime) < kMinTrafficToKeep;
  });
}

void PrefixAffinity::SetTierTraffic(const std::vector<std::pair<std::uint64_t, double>>& shares) {
  tier_traffic_ = {shares.begin(), shares.end()};
}

// Two standard deviations are subtracted from the count: a key seen once or twice may be there by chance.
double PrefixAffinity::RecentTrafficShareOf(std::uint64_t key, Time now) const {
  if (const auto tier = tier_traffic_.find(key); tier != tier_traffic_.end()) return tier->second;
  const auto traffic = key_traffic_.find(key);
  if (traffic == key_traffic_.end()) return 0;
  const double count = traffic->second.short_term.ValueAt(now, kShortTermDecayTime);
  const double arrivals = arrivals_short_term_.ValueAt(now, kShortTermDecayTime);
  return std::clamp((count - 2 * std::sqrt(count)) / std::max(kMinArrivals, arrivals), 0.0, 1.0);
}

// Departure (see router.cpp): nothing is subtracted in a large tier. Each node sees few requests there, so it
// would take a hot prefix for a cold one, and all nodes would send it to its one preferred replica. Without
// the subtraction a prefix starts with several preferred replicas, and with fewer as more requests are
// counted.
double PrefixAffinity::TrafficShareOf(std::uint64_t key, Time now) const {
  if (const auto tier = tier_traffic_.find(key); tier != tier_traffic_.end()) return tier->second;
  const auto traffic = key_traffic_.find(key);
  if (traffic == key_traffic_.end()) return 0;
  const double count = traffic->second.long_term.ValueAt(now, kLongTermDecayTime);
  const double arrivals = arrivals_long_term_.ValueAt(now, kLongTermDecayTime);
  const double share = IsLargeTier(settings_) ? count / (kMinArrivals + arrivals)
                                              : (count - 1) / std::max(kMinArrivals, arrivals);
  return std::clamp(std::max(RecentTrafficShareOf(key, now), share), 0.0, 1.0);
}

// Rounded up to a power of two, so that nodes whose counts differ a little still agree.
std::size_t PrefixAffinity::PreferredCount(double traffic_share, std::size_t replicas, std::size_t max) {
  const double wanted = traffic_share * static_cast<double>(replicas) * kPreferredSpread;
  return std::min(max, std::bit_ceil(static_cast<std::size_t>(std::max(1.0, wanted))));
}

bool PrefixAffinity::IsHot(double traffic_share, double replicas) {
  return traffic_share * replicas * kPreferredSpread > 1;
}

double PrefixAffinity::CachedTokens(std::uint64_t key, const Replica& replica, Time now) const {
  if (key == 0) return 0;
  const auto cached = cached_prefixes_.find(key ^ Mix64(replica.endpoint.id));
  if (cached == cached_prefixes_.end() || now - cached->second.cached_at > kCacheLifetime) return 0;
  const bool restarted_since = cached->second.cached_at < replica.endpoint.started_at;
  return restarted_since ? 0 : cached->second.tokens;
}

double PrefixAffinity::TokensToPrefill(const RequestArrived& request, const Replica& replica,
                                       const Affinity& affinity, Time now) const {
  const double prompt = std::max(1.0, request.prompt_tokens);
  const double cached_of_session = affinity.session_is_hot ? 0 : CachedTokens(request.session, replica, now);
  const double cached_of_prefix = std::min(CachedTokens(request.prefix, replica, now), request.prefix_tokens);
  double cached = std::max(cached_of_session, cached_of_prefix);
  if (affinity.prefix_preferred) cached = std::max(cached, kPrefixHitProbability * request.prefix_tokens);
  if (affinity.session_preferred) cached = std::max(cached, kSessionHitProbability * prompt);
  return std::max(0.0, prompt - cached);
}

void PrefixAffinity::RecordDispatch(const RequestArrived& request, ReplicaId replica, Time now) {
  if (cached_prefixes_.size() > kMaxCachedPrefixes) {
    std::erase_if(cached_prefixes_,
                  [&](const auto& entry) { return now - entry.second.cached_at > kCacheLifetime; });
  }
  if (cached_prefixes_.size() > kMaxCachedPrefixes) cached_prefixes_.clear();
  const std::uint64_t replica_hash = Mix64(replica);
  if (request.session != 0) cached_prefixes_[request.session ^ replica_hash] = {request.prompt_tokens, now};
  if (request.prefix != 0) cached_prefixes_[request.prefix ^ replica_hash] = {request.prefix_tokens, now};
}

void PrefixAffinity::ExportTo(LearnedState& state) const {
  state.key_traffic = key_traffic_;
  state.arrivals_long_term = arrivals_long_term_;
  state.arrivals_short_term = arrivals_short_term_;
  state.cached_prefixes = cached_prefixes_;
}

void PrefixAffinity::RestoreFrom(const LearnedState& state) {
  key_traffic_ = state.key_traffic;
  arrivals_long_term_ = state.arrivals_long_term;
  arrivals_short_term_ = state.arrivals_short_term;
  cached_prefixes_ = state.cached_prefixes;
}

}  // namespace ryeglade::policy
