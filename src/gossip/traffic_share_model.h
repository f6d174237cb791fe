// Computes this node's share of the cluster's traffic, so that the parts of a replica's capacity that all
// nodes use add up to about its capacity. Each node reports the rate at which requests arrive at it, and each
// computes its share from these reports by the same rule, with its own rate as it reported it. No I/O, no
// clock.
//
// A share falls at once, but rises only after the others have had time to receive the reports that lower
// theirs, so that the sum over all nodes stays near 1 while reports are in transit; docs/notes/gossip.md
// derives the bounds. While the view is uncertain the share is first frozen, and then moves in steps to the
// equal share that a node without gossip uses.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip_message_codec.h"
#include "ryeglade/learned_state.h"

namespace ryeglade::gossip {

// Spans in microseconds.
struct TrafficShareLimits {
  Time window = 5'000'000;               // time constant of the decaying request count
  Time report_interval = 500'000;        // between this node's reports, in a small cluster
  Time report_interval_per_node = 0;     // times the number of nodes: the interval if that is longer
  Time max_report_interval = 5'000'000;  // upper bound of that longer interval
  Time rise_delay = 3'000'000;           // a share rises only to the minimum computed over this span
  Time stale_after = 5'000'000;          // an older report is marked as stale, but its value still counts
  Time freeze_time = 30'000'000;         // how long the share stays the same while the view is uncertain
  double step_per_second = 0.05;   // relative change per second towards the equal share after the freeze time
  double base_share = 0.25;        // this fraction of the mean rate is added to each node's own, because
                                   // traffic may begin to arrive at any node
  double max_unstable_rise = 0.5;  // while absent members may still be running, a share computed without
                                   // them exceeds the larger of the last stable share and the share
                                   // computed with them by at most this fraction
};

// The computation of one node. The others do the same with the same reports.
class TrafficShareModel {
 public:
  // `incarnation` rises with each process of this node.
  TrafficShareModel(std::string self, std::uint64_t incarnation, Time now, TrafficShareLimits limits = {});

  // Counts a request that arrived at this node.
  void OnArrival(Time now);
  // Returns the report for all others, or nullopt if none is due. If `urgent`, because there is more to
  // report than the rate, the interval is `report_interval` whatever the size of the cluster.
  std::optional<NodeReport> NextReport(Time now, bool urgent = false);
  // Handles another node's report, whichever node forwarded it. Returns false if it was ignored: because it
  // is not newer than the known one, is not from a member or is out of bounds.
  bool OnReport(Time now, const std::string& node, const NodeReport& report);
  // Sets the members of the view; this node may be among them or not. `certain` means that this node has
  // joined and suspects no partition; `stable`, that the view has been unchanged for a while, so that members
  // that are not in it have gone.
  void SetMembers(Time now, const std::vector<std::string>& members, bool certain, bool stable);

  // Returns the share that this node uses from now on, greater than 0 and at most 1. `nodes` is the announced
  // node count.
  double UpdateShare(Time now, std::size_t nodes);

  // One node's values in the computation.
  struct NodeShare {
    std::string node;
    double rate = 0;  // as reported and bounded, or the mean rate if the node has not reported yet
    bool reported = false;
    bool stale = false;   // its last report is older than `stale_after`
    bool absent = false;  // not in the view
    double share = 0;     // as computed, before the delay of rises
  };
  // Returns the values of all nodes for display to operators, this node first.
  std::vector<NodeShare> Explain(Time now) const;
  Time report_interval() const;                 // between this node's reports; longer in a large cluster
  const char* state() const { return state_; }  // "shares", "held", "stepping-back" or "equal"

 private:
  // What is known of another node.
  struct Peer {
    NodeReport report;
    Time received_at = -1;  // -1 if no report was received
    bool member = false;    // in the view
  };
  static constexpr std::size_t kMaxPeers = 4096;

  double ComputeShare(Time now, bool with_absent) const;
  std::vector<NodeShare> ComputeShares(Time now, bool with_absent) const;
  double ShareWhileUncertain(Time now, double equal_share, double seconds_passed);

  std::string self_;
  TrafficShareLimits limits_;
  std::map<std::string, Peer> peers_;
  policy::DecayingCounter arrivals_;
  Time started_at_ = 0;
  Time reported_at_ = -1;
  NodeReport own_;
  bool certain_ = false;
  bool stable_ = false;
  Time uncertain_since_ = -1;  // -1 if the view is certain
  Time updated_at_ = 0;        // last call of UpdateShare
  Time targets_since_ = 0;     // targets_ has no entries from before this time
  double share_ = 0;           // in use; 0 before the first update
  double last_stable_share_ = 0;
  // Computed shares of the last `rise_delay`, increasing from front to back, so that the front is their
  // minimum.
  std::deque<std::pair<Time, double>> targets_;
  const char* state_ = "equal";
};

}  // namespace ryeglade::gossip
