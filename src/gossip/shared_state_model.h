// All that a node does with what the nodes report to each other: its share of the cluster's traffic, the
// consensus on outliers and the traffic of prefixes, each of which can be switched off, passed to the
// decision module as events. With an uncertain view, alone or switched off it leads back to what a node
// without gossip goes by. Hosted alike by the node and by the emulator. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/outlier_consensus_model.h"
#include "gossip/prefix_traffic_model.h"
#include "gossip/traffic_share_model.h"

namespace ryeglade::gossip {

// What a node uses of the gossip.
struct GossipFeatures {
  bool traffic_shares = true;
  bool outlier_reports = true;
  bool prefix_traffic = true;
};

// Spans in microseconds.
struct SharedStateLimits {
  TrafficShareLimits traffic_share;
  OutlierConsensusLimits outliers;
  PrefixTrafficLimits prefix_traffic;
  Time evaluate_interval = 500'000;
  Time freeze_time = 30'000'000;  // while the view is uncertain, what was announced stands for so long
};

// One node's; each call is with the host's own steady clock.
class SharedStateModel {
 public:
  // `incarnation` rises with each process of this node.
  SharedStateModel(std::string self, std::uint64_t incarnation, Time now, GossipFeatures features,
                   SharedStateLimits limits = {});

  // A request arrived at this node; `prefix` 0: it has none that is shared.
  void OnArrival(Time now, std::uint64_t prefix);
  // Who is in the view, with this node or without. `certain`: joined and no partition suspected; `stable`:
  // unchanged for a while.
  void SetMembers(Time now, const std::vector<OutlierConsensusModel::Peer>& members, const std::string& zone,
                  bool certain, bool stable);
  // What this node observes of all listed replicas; to be called before each Evaluate.
  void ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet, bool suspects_itself);
  // A message from anywhere; false: it is older than what is known, or of no member.
  bool OnMessage(Time now, const GossipMessage& message);
  // This node's report for all others; null: none is due.
  std::optional<NodeReport> NextReport(Time now);
  // What has changed for the decision module, in order. `nodes`: in the cluster, as the module goes by.
  std::vector<policy::Event> Evaluate(Time now, std::size_t nodes);

  const TrafficShareModel& traffic_shares() const { return traffic_shares_; }
  const OutlierConsensusModel& outliers() const { return outliers_; }
  const PrefixTrafficModel& prefix_traffic() const { return prefix_traffic_; }
  double share() const { return share_; }  // this node's, of the cluster's traffic
  // As it was announced to the module last; 0: never.
  double announced_share() const { return announced_share_; }
  const GossipFeatures& features() const { return features_; }

 private:
  std::string self_;
  GossipFeatures features_;
  SharedStateLimits limits_;
  TrafficShareModel traffic_shares_;
  OutlierConsensusModel outliers_;
  PrefixTrafficModel prefix_traffic_;
  std::set<std::string> members_;  // of the last stable view
  bool certain_ = false;
  Time evaluated_at_ = 0;
  Time uncertain_since_ = -1;  // -1: certain
  double share_ = 0;
  double announced_share_ = 0;
  int urgent_reports_ = 0;  // when the last report was made
};

}  // namespace ryeglade::gossip
