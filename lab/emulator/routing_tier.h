// The gossip among the nodes of a simulation. Each node has the program's own SharedStateModel. Membership is
// modelled: a failed node leaves the views of the others after a delay, and, as in the real membership, a
// side of a partition without a majority removes nobody.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <queue>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "gossip/shared_state_model.h"
#include "lab/emulator/random.h"
#include "ryeglade/router.h"

namespace ryeglade::emulator {

using policy::Time;

// The values of RoutingTierSpec::gossip_mode, for help texts and errors.
inline constexpr std::string_view kGossipValues =
    "talk or oracle, either optionally followed by -parts, -evidence or -beginnings";

struct RoutingTierSpec {
  // "": no gossip. "talk": as in the program. "oracle": every node knows the true values at once. A suffix
  // limits either to one feature: "-parts" to traffic shares, "-evidence" to outlier reports, "-beginnings"
  // to prefix traffic.
  std::string gossip_mode;
  bool oracle() const { return gossip_mode.starts_with("oracle"); }
  bool shares_traffic() const { return Uses("-parts"); }
  bool shares_outlier_reports() const { return Uses("-evidence"); }
  bool shares_prefix_traffic() const { return Uses("-beginnings"); }
  bool IsValid() const;           // gossip_mode has one of the values above
  double loss = 0;                // share of messages that is lost
  double detection_delay_s = 10;  // until a failed or unreachable node is removed from a view
  double settle_time_s = 5;       // time without a change until a view counts as settled
  double mean_delay_s = 1;        // until a report has reached a node by way of others
  // Index of a node that falsely reports 1000 times its rate and that all replicas fail; -1: none.
  int byzantine_node = -1;

 private:
  bool Uses(std::string_view what) const {
    return !gossip_mode.empty() &&
           (gossip_mode.find('-') == std::string::npos || gossip_mode.ends_with(what));
  }
};

class RoutingTier {
 public:
  // `weights` are the nodes' shares of the traffic; they add up to 1.
  RoutingTier(const RoutingTierSpec& spec, std::vector<double> weights, int zones, std::uint64_t seed);

  static constexpr Time kTickInterval = 500'000;
  void OnNodeStarted(std::size_t node, Time now);
  void OnNodeStopped(std::size_t node) { nodes_[node].up = false; }
  // Counts an arrival of a request with this shared prefix at the node.
  void OnArrival(std::size_t node, Time now, std::uint64_t prefix);
  // From now on, the first `count` nodes and the others don't receive messages from each other. 0 ends the
  // partition.
  void Partition(std::size_t count) { partition_ = count; }
  using NodeEvents = std::vector<std::pair<std::size_t, policy::Event>>;  // node, event
  // Writes a node's views of all replicas that it knows to `fleet`.
  using ReplicaViews = std::function<void(std::size_t node, std::vector<policy::ReplicaView>* fleet)>;
  // To be called every kTickInterval. Returns the events for the nodes' policies, in order.
  NodeEvents Tick(Time now, const ReplicaViews& replica_views);

 private:
  struct Node {
    std::unique_ptr<gossip::SharedStateModel> shared_state;
    bool up = false;
    std::uint64_t incarnation = 0;
    std::vector<Time> unreachable_since;  // by member; -1: reachable
    std::vector<bool> in_view;            // by member
    std::size_t settled_size = 0;         // nodes in the last settled view, this one included; 0: none yet
    Time changed_at = 0;                  // when the view last changed
    double announced_share = 0;           // the share last announced with "oracle"
  };
  struct Delivery {
    Time due;
    std::uint64_t order;
    std::size_t to, from;
    Time created_at;
    std::shared_ptr<const gossip::NodeReport> report;
    bool operator<(const Delivery& o) const { return due != o.due ? due > o.due : order > o.order; }
  };
  bool CanReach(std::size_t from, std::size_t to) const {
    return nodes_[from].up && nodes_[to].up && (partition_ == 0 || (from < partition_) == (to < partition_));
  }
  void UpdateView(std::size_t observer, Time now);
  void Broadcast(std::size_t from, Time now, gossip::NodeReport report);

  RoutingTierSpec spec_;
  int zones_;
  gossip::SharedStateLimits limits_;
  std::vector<double> weights_;
  std::vector<Node> nodes_;
  std::vector<std::string> names_;
  RandomStream random_;
  std::size_t partition_ = 0;  // number of nodes on the first side; 0: no partition
  std::priority_queue<Delivery> in_transit_;
  std::uint64_t order_ = 0;
  std::vector<policy::ReplicaView> fleet_;  // of the node being processed in Tick
};

}  // namespace ryeglade::emulator
