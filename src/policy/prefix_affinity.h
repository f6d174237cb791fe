// Which replicas have cached a request's prompt prefix. Each session and each shared prefix (a key) has
// preferred replicas, more of them the more traffic it has; and this node remembers what it has sent where.
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

// What makes it likely that a replica has cached a prompt that this node has not sent there.
struct Affinity {
  bool prefix_preferred = false;   // a preferred replica of the request's shared prefix
  bool session_preferred = false;  // and of its session
  bool session_is_hot = false;     // the session has several preferred replicas, each as good
};

class PrefixAffinity {
 public:
  // The settings must outlive it.
  explicit PrefixAffinity(const Settings& settings) : settings_(settings) {}

  void CountArrival(const RequestArrived& request, Time now);
  // Shares of the tier's traffic, which replace what this node has counted itself.
  void SetTierTraffic(const std::vector<std::pair<std::uint64_t, double>>& shares);

  // A key's share, 0 to 1, of this node's traffic, which stands for its share of all. The recent one tells a
  // key that turns hot only.
  double TrafficShareOf(std::uint64_t key, Time now) const;
  double RecentTrafficShareOf(std::uint64_t key, Time now) const;

  // How many of `replicas` a key with this share of the traffic prefers; at most `max`.
  static std::size_t PreferredCount(double traffic_share, std::size_t replicas, std::size_t max);
  // Whether that would be more than one.
  static bool IsHot(double traffic_share, double replicas);

  // The tokens of the prompt that the replica is expected to have to read, as they are not in its cache.
  double TokensToPrefill(const RequestArrived& request, const Replica& replica, const Affinity& affinity,
                         Time now) const;
  // From here on the replica has cached the whole prompt.
  void RecordDispatch(const RequestArrived& request, ReplicaId replica, Time now);

  void ExportTo(LearnedState& state) const;
  void RestoreFrom(const LearnedState& state);

 private:
  double CachedTokens(std::uint64_t key, const Replica& replica, Time now) const;

  const Settings& settings_;
  std::unordered_map<std::uint64_t, double> tier_traffic_;  // shares by key
  std::unordered_map<std::uint64_t, LearnedState::KeyTraffic> key_traffic_;
  DecayingCounter arrivals_long_term_;
  DecayingCounter arrivals_short_term_;
  std::unordered_map<std::uint64_t, LearnedState::CachedPrefix> cached_prefixes_;  // by key and replica
};

}  // namespace ryeglade::policy
