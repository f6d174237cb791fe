// Which shared prompt prefixes the cluster's traffic has, from what each node counts: so that all nodes give
// a prefix the same number of preferred replicas, though each sees few requests of it. No I/O, no clock.
//
// The preferred replicas themselves are chosen by the decision module: by rendezvous hashing over the
// replicas, so that of two nodes whose counts differ one has a superset of the other's.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

// Spans in microseconds.
struct PrefixTrafficLimits {
  Time window = 20'000'000;          // time constant of the decaying counts
  Time max_report_age = 15'000'000;  // an older report no longer counts
  double min_node_share = 0.5;       // of the nodes that have to report a prefix
  std::size_t max_prefixes = 256;    // that are put together
};

// Counts this node's requests and adds up what all nodes report.
class PrefixTrafficModel {
 public:
  explicit PrefixTrafficModel(std::string self, Time now, PrefixTrafficLimits limits = {})
      : self_(std::move(self)), limits_(limits), started_at_(now) {}

  // A request arrived at this node; `prefix` 0: it has none that is shared.
  void OnArrival(Time now, std::uint64_t prefix);
  // This node's busiest prefixes.
  void FillReport(Time now, NodeReport* report) const;
  void OnReport(Time made_at, const std::string& node, const NodeReport& report);
  void RemoveNode(const std::string& node) { peers_.erase(node); }
  // The shares for the decision module; false: nothing has changed by enough.
  bool UpdateShares(Time now, policy::PrefixTrafficReceived* shares);
  // Takes back what was announced; false: nothing was.
  bool WithdrawAll(policy::PrefixTrafficReceived* shares);
  std::size_t announced() const { return announced_.size(); }  // prefixes

 private:
  // The newest report of another node.
  struct PeerState {
    double rate = 0;
    Time made_at = 0;
    std::vector<PrefixRate> prefix_rates;
  };
  using PrefixShares = std::vector<std::pair<std::uint64_t, double>>;  // by prefix, 0 to 1

  // This node's busiest prefixes; `rate`: of all its requests a second, 0 until it has counted for long
  // enough.
  std::vector<PrefixRate> OwnRates(Time now, double* rate) const;
  PrefixShares CollectShares(Time now) const;  // the largest first
  bool HasChanged(const PrefixShares& shares) const;

  std::string self_;
  PrefixTrafficLimits limits_;
  Time started_at_;
  policy::DecayingCounter all_requests_;
  std::unordered_map<std::uint64_t, policy::DecayingCounter> counts_;  // by prefix
  std::map<std::string, PeerState> peers_;
  std::map<std::uint64_t, double> announced_;  // shares by prefix
  Time announced_at_ = 0;
};

}  // namespace ryeglade::gossip
