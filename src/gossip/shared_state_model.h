// Everything that a node derives from the nodes' reports to each other: its share of the cluster's traffic,
// the consensus on outliers and the traffic of prefixes. Each can be switched off. The results are passed to
// the decision module as events. If the membership view is uncertain for long, the results return to those of
// a node without gossip. Used by the node and by the emulator. No I/O, no clock.
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

// The parts of the gossip that a node uses.
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
  Time evaluate_interval = 500'000;  // between evaluations of outliers and prefixes
  Time freeze_time = 30'000'000;     // how long announced results stand while the view is uncertain
};

// The state of one node. `now` is always a time of the host's steady clock.
class SharedStateModel {
 public:
  // `incarnation` rises with each process of this node.
  SharedStateModel(std::string self, std::uint64_t incarnation, Time now, GossipFeatures features,
                   SharedStateLimits limits = {});

  // Counts a request that arrived at this node. `prefix` is 0 if it has no shared prefix.
  void OnArrival(Time now, std::uint64_t prefix);
  // Sets the members of the view; this node may be among them or not. `certain` means that this node has
  // joined and suspects no partition; `stable`, that the view has been unchanged for a while.
  void SetMembers(Time now, const std::vector<OutlierConsensusModel::Peer>& members, const std::string& zone,
                  bool certain, bool stable);
  // Sets what this node observes of all listed replicas. Must be called before each Evaluate.
  void ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet, bool suspects_itself);
  // Handles a message, whichever node forwarded it. Returns false if the report is not newer than the known
  // one, or does not come from a member.
  bool OnMessage(Time now, const GossipMessage& message);
  // Returns this node's report for all others, or nullopt if none is due.
  std::optional<NodeReport> NextReport(Time now);
  // Returns the events for the decision module, in order. `nodes` is the node count announced to the module.
  std::vector<policy::Event> Evaluate(Time now, std::size_t nodes);

  const TrafficShareModel& traffic_shares() const { return traffic_shares_; }
  const OutlierConsensusModel& outliers() const { return outliers_; }
  const PrefixTrafficModel& prefix_traffic() const { return prefix_traffic_; }
  double share() const { return share_; }  // this node's share of the cluster's traffic
  // The share as last announced to the decision module; 0 if it never was.
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
  Time uncertain_since_ = -1;  // -1 if the view is certain
  double share_ = 0;
  double announced_share_ = 0;
  int urgent_reports_ = 0;  // OutlierConsensusModel::urgent_reports() when the last report was made
};

}  // namespace ryeglade::gossip
