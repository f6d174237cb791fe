// Computes which share of the cluster's traffic each shared prompt prefix has, from the counts of all nodes,
// so that all nodes give a prefix the same number of preferred replicas although each of them sees only a few
// requests with it. No I/O, no clock.
//
// The decision module chooses the preferred replicas themselves, by rendezvous hashing over the replicas: of
// two nodes that give a prefix different numbers of replicas, one has a superset of the other's.
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
  double min_node_share = 0.5;       // a prefix counts if at least this share of the nodes reports it
  std::size_t max_prefixes = 256;    // only this many prefixes, the busiest ones, are announced
};

// Counts this node's requests and adds up the reports of all nodes. Times in microseconds.
class PrefixTrafficModel {
 public:
  explicit PrefixTrafficModel(std::string self, Time now, PrefixTrafficLimits limits = {})
      : self_(std::move(self)), limits_(limits), started_at_(now) {}

  // Counts a request that arrived at this node. `prefix` is 0 if it has no shared prefix.
  void OnArrival(Time now, std::uint64_t prefix);
  // Fills in this node's busiest prefixes.
  void FillReport(Time now, NodeReport* report) const;
  // Stores the newest report of a node, made at `made_at`.
  void OnReport(Time made_at, const std::string& node, const NodeReport& report);
  void RemoveNode(const std::string& node) { peers_.erase(node); }
  // Sets the shares for the decision module. Returns false if they have not changed enough, or if it is too
  // soon after the last announcement.
  bool UpdateShares(Time now, policy::PrefixTrafficReceived* shares);
  // Withdraws all announced shares. Returns false if none were announced.
  bool WithdrawAll(policy::PrefixTrafficReceived* shares);
  std::size_t announced() const { return announced_.size(); }  // number of prefixes

 private:
  // The newest report of another node.
  struct PeerState {
    double rate = 0;  // of all its requests, per second
    Time made_at = 0;
    std::vector<PrefixRate> prefix_rates;
  };
  using PrefixShares = std::vector<std::pair<std::uint64_t, double>>;  // prefix and share, 0 to 1

  // Returns this node's busiest prefixes, and in `rate` the rate of all its requests per second. Until the
  // node has counted for long enough there are no prefixes and the rate is 0.
  std::vector<PrefixRate> OwnRates(Time now, double* rate) const;
  PrefixShares CollectShares(Time now) const;  // largest share first
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
