// Which share of the cluster's traffic is this node's, so that what all nodes allow themselves of a replica
// adds up to about what it can take. Each node reports at what rate requests arrive at it; each computes its
// share from what was reported, by the same rule, its own rate as it reported it. No I/O, no clock.
//
// A share falls at once and rises only once the others have had time to learn why, so that while reports are
// on their way the sum over all nodes stays near 1; docs/notes/gossip.md derives the bounds. What is not
// known is not guessed: while the view is uncertain the share is frozen, then led back, by steps, to the
// equal share that a node without gossip goes by.
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
  Time window = 5'000'000;            // time constant of the decaying request count
  Time report_interval = 500'000;     // between reports,
  Time report_interval_per_node = 0;  // or this for each node, where that is longer, up to
  Time max_report_interval = 5'000'000;
  Time rise_delay = 3'000'000;      // a share rises only to the least that was computed for so long
  Time stale_after = 5'000'000;     // an older report no longer says what arrives there; its value stands
  Time freeze_time = 30'000'000;    // while the view is uncertain a share stays for so long,
  double step_per_second = 0.05;    // then moves to the equal share by this part of itself a second
  double base_share = 0.25;         // of the mean rate, added to each node's own: traffic may arrive there at
                                    // any moment
  double max_unsettled_rise = 0.5;  // a share computed without members that are absent but may live passes
                                    // the last settled one by at most this part of it
};

// One node's computation; the others make the same from the same reports.
class TrafficShareModel {
 public:
  // `incarnation` rises with each process of this node.
  TrafficShareModel(std::string self, std::uint64_t incarnation, Time now, TrafficShareLimits limits = {});

  // A request arrived at this node.
  void OnArrival(Time now);
  // The report for all others; null: none is due. `urgent`: there is more to report than the rate.
  std::optional<NodeReport> NextReport(Time now, bool urgent = false);
  // Another node's report, from anywhere. False: ignored, as it is older than what is known, of no member or
  // out of bounds.
  bool OnReport(Time now, const std::string& node, const NodeReport& report);
  // Who is in the view, with this node or without. `certain`: joined and no partition suspected. `stable`:
  // unchanged for a while, so that members that are not in it have gone.
  void SetMembers(Time now, const std::vector<std::string>& members, bool certain, bool stable);

  // This node's share, over 0 to 1, to go by from now on. `nodes`: as many as are announced.
  double UpdateShare(Time now, std::size_t nodes);

  // One node's part in the computation.
  struct NodeShare {
    std::string node;
    double rate = 0;  // as reported, or the mean where it has reported none
    bool reported = false;
    bool stale = false;
    bool absent = false;
    double share = 0;  // as computed, before it is delayed
  };
  // How the shares come about, for people; this node first.
  std::vector<NodeShare> Explain(Time now) const;
  Time report_interval() const;
  const char* state() const { return state_; }  // "shares", "held", "stepping-back" or "equal"

 private:
  // What is known of another node.
  struct Peer {
    NodeReport report;
    Time received_at = -1;  // -1: never
    bool member = false;    // in the view
  };
  static constexpr std::size_t kMaxPeers = 4096;

  double ComputeShare(Time now, bool with_absent) const;
  std::vector<NodeShare> ComputeShares(Time now, bool with_absent) const;
  double ShareWhileUncertain(Time now, double equal, double seconds_passed);

  std::string self_;
  TrafficShareLimits limits_;
  std::map<std::string, Peer> peers_;
  policy::DecayingCounter arrivals_;
  Time started_at_ = 0;
  Time reported_at_ = -1;
  NodeReport own_;
  bool certain_ = false;
  bool stable_ = false;
  Time uncertain_since_ = -1;  // -1: certain
  Time updated_at_ = 0;        // the share
  Time window_since_ = 0;      // targets_ reaches back to then, at most
  double share_ = 0;           // in use; 0: none yet
  double last_stable_share_ = 0;
  // Computed shares of the last `rise_delay`, rising from the front: a running minimum.
  std::deque<std::pair<Time, double>> targets_;
  const char* state_ = "equal";
};

}  // namespace ryeglade::gossip
