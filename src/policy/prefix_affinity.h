// Estimates which replicas have a request's prompt prefix in their cache. Each session and each shared prefix
// (a key) has preferred replicas, and more of them the more traffic it has. This node also remembers which
// prompts it has sent to which replica.
#pragma once

#include <cstddef>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

#include "replica.h"
#include "ryeglade/events.h"
#include "ryeglade/learned_state.h"
#include "ryeglade/settings.h"

namespace ryeglade::policy {

// Why a replica is likely to have cached a prompt although this node has not sent it there.
struct Affinity {
  bool prefix_preferred = false;   // it is a preferred replica of the request's shared prefix
  bool session_preferred = false;  // it is a preferred replica of the request's session
  bool session_is_hot = false;     // the session has several preferred replicas, all equally suitable
};

class PrefixAffinity {
 public:
  // The settings must outlive this object.
  explicit PrefixAffinity(const Settings& settings) : settings_(settings) {}

  // Counts an arrival for the request's session and shared prefix.
  void CountArrival(const RequestArrived& request, Time now);
  // Sets shares of the tier's traffic by key. They replace the earlier ones, and are used instead of what
  // this node has counted for these keys.
  void SetTierTraffic(const std::vector<std::pair<std::uint64_t, double>>& shares);

  // A key's share, 0 to 1, of this node's traffic, as an estimate of its share of all traffic. The recent
  // share has a short decay time and is 0 for a key with few recent arrivals; it detects a key that gets hot.
  double TrafficShareOf(std::uint64_t key, Time now) const;
  double RecentTrafficShareOf(std::uint64_t key, Time now) const;

  // How many of `replicas` are preferred ones of a key with this share of the traffic; at most `max`.
  static std::size_t PreferredCount(double traffic_share, std::size_t replicas, std::size_t max);
  // Whether a key with this share of the traffic has more than one preferred replica.
  static bool IsHot(double traffic_share, double replicas);

  // The number of prompt tokens that the replica is expected to prefill, because they are not in its cache.
  double TokensToPrefill(const RequestArrived& request, const Replica& replica, const Affinity& affinity,
                         Time now) const;
  // Must be called when the request is sent. Afterwards the replica is assumed to have cached the whole
  // prompt.
  void RecordDispatch(const RequestArrived& request, ReplicaId replica, Time now);

  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  // The tokens of the key that this node has sent to the replica and that should still be cached there.
  double CachedTokens(std::uint64_t key, const Replica& replica, Time now) const;

  const Settings& settings_;
  std::unordered_map<std::uint64_t, double> tier_traffic_;  // shares of the tier's traffic, by key
  std::unordered_map<std::uint64_t, LearnedState::KeyTraffic> key_traffic_;
  DecayingCounter arrivals_long_term_;
  DecayingCounter arrivals_short_term_;
  std::unordered_map<std::uint64_t, LearnedState::CachedPrefix> cached_prefixes_;  // by key and replica
};

}  // namespace ryeglade::policy
