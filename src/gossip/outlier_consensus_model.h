// Combines what the nodes have observed of each replica: which replicas this node ejects because peers report
// them as failing, how slow peers find each one, and how many attempts of dead nodes are still in flight
// there. No I/O, no clock.
//
// A single node's report never ejects a replica at other nodes. An ejection requires reports of two nodes
// that do not suspect themselves, and whose failures are newer than any answer that a node got from the
// replica. In a cluster of several zones the reporters must be in two zones or in this node's own, because
// the reports of another single zone may be the fault of its network. A node's own recent answers take
// precedence over all reports. For each replica a few reporters, chosen by rendezvous hashing, keep trying it
// when their own ejections end; an answer that they get ends the ejection at the other nodes. Once a node has
// reported a replica as slow, its slowness is the median over all nodes that used it, so that one node with
// false reports can't move it beyond the values of the others. Never more than a share of the fleet is
// ejected by consensus (docs/notes/gossip.md has the bounds).
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

// Spans in microseconds.
struct OutlierConsensusLimits {
  std::size_t required_reporters = 2;   // reporters that saw failures, required for an ejection
  std::size_t required_if_stalled = 3;  // reporters required if fewer than `required_reporters` of them saw
                                        // failures and the others report stalls
  std::size_t probing_reporters = 3;    // number of reporters that keep trying the replica
  std::size_t nodes_per_probing_reporter = 32;  // or one per this many nodes of the cluster, if that is more
  double max_ejected_share = 0.2;     // of the replicas, by consensus; at least one if there are four or more
  Time max_report_age = 10'000'000;   // older reports and older failures do not eject
  Time own_answer_valid = 2'000'000;  // a node that got an answer this recently does not eject the replica
  Time ejection_time = 2'500'000;     // length of an ejection by consensus; renewed while the reports stand
  Time stall_threshold = 3'000'000;   // a node that has waited this long for an answer reports a stall
  double self_suspicion_share = 0.5;  // a node suspects itself if more than this share of the replicas that
                                      // it used fail for it
  double slow_threshold = 1.5;        // slowness (ln) that a node must report before slowness is combined
  double slow_min_samples = 3;        // answers that such a report must be based on
  double peer_answer_weight = 0.5;    // weight of an answer seen by a peer, relative to one seen here
  double max_peer_samples = 8;        // upper bound of the answers that all peers together count as
  Time orphan_lifetime = 15'000'000;  // attempts of a dead node are assumed to have ended after this time; 0:
                                      // they are not counted at all
};

// The consensus as one node computes it. ObserveReplicas and SetMembers must be called before Evaluate.
class OutlierConsensusModel {
 public:
  OutlierConsensusModel(std::string self, OutlierConsensusLimits limits)
      : self_(std::move(self)), limits_(limits) {}

  // Another node of the membership view.
  struct Peer {
    std::string name;
    std::string zone;
  };

  // Sets what this node itself observes of all replicas that are listed now. `suspects_itself` says that its
  // own observations may be wrong.
  void ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet, bool suspects_itself);
  // Fills in this node's own outlier reports, the most severe first, and its flags.
  void FillReport(Time now, NodeReport* report) const;
  // Stores the newest report of a node, made at `made_at`. Ignores a node that SetMembers has not added.
  void OnReport(Time made_at, const std::string& node, const NodeReport& report);
  // Sets the members of the view; this node may be among them or not. If `certain`, missing members have
  // gone; else they may still be running.
  void SetMembers(Time now, const std::vector<Peer>& members, const std::string& zone, bool certain);

  // Returns the reports for the decision module that have changed or have to be renewed. `share` is this
  // node's share of the cluster's traffic, 0 to 1.
  std::vector<policy::PeerReplicaReport> Evaluate(Time now, double share);
  // Returns reports that withdraw everything that was announced to the decision module.
  std::vector<policy::PeerReplicaReport> WithdrawAll(Time now);

  bool suspects_itself() const { return suspects_itself_; }
  // The number of replicas for which other nodes need this node's report soon: those that fail here, and
  // those that others report as outliers although they answered here.
  int urgent_reports() const { return failing_ + contradicted_; }

  // The conclusion about a replica that is reported as an outlier.
  struct Finding {
    policy::ReplicaId replica = 0;
    std::vector<std::string> reporters;  // nodes whose reports count
    std::string answered_by;             // the node with the newest answer from it; empty if there is none
    Time ejected_until = 0;              // by consensus; 0 if it is not ejected
    const char* reason = "";             // name of the reason (docs/operators/gossip.md)
  };
  const std::vector<Finding>& findings() const { return findings_; }

 private:
  // What is known of another node.
  struct PeerState {
    NodeReport report;
    Time made_at = 0;
    std::string zone;
    bool member = false;
  };
  // The attempts that a dead node had in flight at a replica.
  struct OrphanedAttempts {
    int in_flight = 0;
    Time until = 0;  // they count until this time
  };
  // What this node observes of a replica, and what it last announced about it to the decision module.
  struct Replica {
    policy::ReplicaView view;
    bool listed = false;  // in the last observation
    policy::PeerReplicaReport announced;
    Time announced_at = 0;
    std::map<std::string, OrphanedAttempts> orphans;  // by dead node
  };
  // A node whose report counts against a replica.
  struct Reporter {
    std::string name;
    std::string zone;
    Time since;   // time of its last failure there, or when it began to wait
    bool failed;  // if false, it reports a stall
  };
  // One node's mean slowness, weighted by its number of samples.
  struct SlownessSample {
    double slowness;
    double samples;
  };
  // All nodes' reports on one replica.
  struct CombinedReports {
    std::vector<Reporter> reporters;       // of failures and stalls
    std::string answered_by;               // the node with the newest answer from it
    Time answered_at = -1;                 // of that answer; -1 if there is none
    std::vector<SlownessSample> slowness;  // of peers
    bool reported_slow = false;
  };
  using ReportsByReplica = std::map<policy::ReplicaId, CombinedReports>;
  static constexpr std::size_t kMaxPeers = 4096;

  bool IsTrusted(const PeerState& peer, Time now) const;
  // Whether the report, `age` old, says that its node saw failures of the replica: more than one in a row, or
  // one that led to its ejection.
  bool ReportsFailure(const OutlierReport& report, Time age) const {
    return report.consecutive_failures > 0 && (report.ejected_for > 0 || report.consecutive_failures > 1) &&
           report.last_outcome_age >= 0 && report.last_outcome_age + age < limits_.max_report_age;
  }
  bool ReportsStall(const OutlierReport& report, Time age) const {
    return report.stalled_for >= limits_.stall_threshold && age < limits_.max_report_age / 2;
  }
  bool ReportsOutlier(const OutlierReport& report, Time age) const {
    return ReportsFailure(report, age) || ReportsStall(report, age);
  }
  bool ReportsSlowness(const OutlierReport& report) const {
    return report.slowness >= limits_.slow_threshold && report.slowness_samples >= limits_.slow_min_samples;
  }
  static bool ReportsAnswer(const OutlierReport& report) {
    return report.consecutive_failures == 0 && report.last_outcome_age >= 0;
  }
  Reporter MakeReporter(const std::string& name, const std::string& zone, const OutlierReport& report,
                        Time now, Time age) const;
  // Whether `node` is one of the reporters that keep trying the replica. All nodes agree on which these are.
  bool KeepsProbing(const std::string& node, policy::ReplicaId replica,
                    const std::vector<std::string>& reporters) const;
  OutlierReport OwnReport(Time now, const policy::ReplicaView& view) const;
  // Records the attempts in flight of a member that has gone; they count for the orphan lifetime.
  void RecordOrphans(Time now, const std::string& node, const PeerState& peer);

  void AddReport(const std::string& name, const std::string& zone, const OutlierReport& report, Time now,
                 Time age, ReportsByReplica* by_replica) const;
  ReportsByReplica CombineReports(Time now) const;
  Finding Conclude(Time now, policy::ReplicaId id, CombinedReports* reports);
  void LimitEjections();
  policy::PeerReplicaReport ReportFor(Time now, policy::ReplicaId id, Replica* replica, Time ejected_until,
                                      CombinedReports* reports, double share) const;
  bool HasChanged(Time now, const Replica& replica, const policy::PeerReplicaReport& report) const;
  static SlownessSample WeightedMedian(std::vector<SlownessSample>& all);

  std::string self_;
  OutlierConsensusLimits limits_;
  std::map<policy::ReplicaId, Replica> fleet_;
  std::map<std::string, PeerState> peers_;
  std::string zone_;
  bool several_zones_ = false;
  bool suspects_itself_ = false;
  int failing_ = 0;       // replicas that this node has ejected after failures of its own
  int contradicted_ = 0;  // replicas that others report although they answered here lately
  // Replicas that another node reports as slow. This node then reports the slowness that it observes of them.
  std::set<policy::ReplicaId> reported_slow_;
  std::vector<Finding> findings_;
};

}  // namespace ryeglade::gossip
