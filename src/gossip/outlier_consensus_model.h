// What the nodes have observed of each replica, put together: which replicas this node ejects because peers
// report them as failing, how slow peers find each one, and how many attempts nodes that have died still have
// in flight there. No I/O, no clock.
//
// One node's report never ejects a replica elsewhere. It takes reports of two nodes, in two zones or in this
// node's own where the cluster has more than one (what a single other zone reports may be the fault of its
// own network), none of which suspects itself, and whose failures are newer than any answer that somebody got
// there; a node's own answers count before anything that is reported. The reporters that come first for a
// replica, by rendezvous hashing, go on trying it when their own ejections end, and what they find releases
// the others. Slowness is a median over all who used the replica, once somebody has reported it as slow, so
// that a node that lies moves it no further than the others go. And never more than a share of the fleet is
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
  std::size_t required_reporters = 2;           // that an ejection takes where each of them saw failures,
  std::size_t required_if_stalled = 3;          // or so many where some only waited for an answer in vain
  std::size_t probing_reporters = 3;            // of them go on trying the replica,
  std::size_t nodes_per_probing_reporter = 32;  // or one for each so many nodes where that is more
  double max_ejected_share = 0.2;               // of the replicas, by consensus, and at least one of four
  Time max_report_age = 10'000'000;             // an older report, or an older failure, ejects nothing
  Time own_answer_valid = 2'000'000;            // a node whose own answer is no older needs no reports
  Time ejection_time = 2'500'000;               // by consensus, renewed while the reports stand
  Time stall_threshold = 3'000'000;   // a node that has waited so long for an answer to begin reports a stall
  double self_suspicion_share = 0.5;  // a node for which more than this share of what it used fails suspects
                                      // itself
  double slow_threshold = 1.5;        // ln: reported by somebody before slowness is put together,
  double slow_min_samples = 3;        // from so many answers
  double peer_answer_weight = 0.5;    // of an answer seen by a peer to one seen here
  double max_peer_samples = 8;        // answers that all peers together count as, at most
  Time orphan_lifetime = 15'000'000;  // attempts of a node that died have ended after so long; 0: don't count
};

// Hosted by SharedStateModel, which calls ObserveReplicas and SetMembers before Evaluate.
class OutlierConsensusModel {
 public:
  OutlierConsensusModel(std::string self, OutlierConsensusLimits limits)
      : self_(std::move(self)), limits_(limits) {}

  // Another node of the view.
  struct Peer {
    std::string name;
    std::string zone;
  };

  // What this node itself observes of all replicas that are listed now. `suspects_itself`: it has reason to
  // doubt its own observations.
  void ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet, bool suspects_itself);
  // This node's own outlier reports, the gravest first, and its flags.
  void FillReport(Time now, NodeReport* report) const;
  // The newest report of a node, made at `made_at`.
  void OnReport(Time made_at, const std::string& node, const NodeReport& report);
  // Who is in the view, with this node or without. `certain`: members that are missing have gone; else they
  // may live.
  void SetMembers(Time now, const std::vector<Peer>& members, const std::string& zone, bool certain);

  // The reports for the decision module that have changed or would fade. `share`: this node's share of the
  // cluster's traffic, 0 to 1.
  std::vector<policy::PeerReplicaReport> Evaluate(Time now, double share);
  // Takes back all that was announced to the decision module.
  std::vector<policy::PeerReplicaReport> WithdrawAll(Time now);

  bool suspects_itself() const { return suspects_itself_; }
  // Replicas on which other nodes wait for this node's report: those that fail here, and those that others
  // report though they answered here.
  int urgent_reports() const { return failing_ + contradicted_; }

  // What was concluded of a replica that is reported as an outlier.
  struct Finding {
    policy::ReplicaId replica = 0;
    std::vector<std::string> reporters;  // whose reports count
    std::string answered_by;             // who got the newest answer there; empty: nobody lately
    Time ejected_until = 0;              // by consensus; 0: not ejected
    const char* reason = "";             // a reason word (docs/operators/gossip.md)
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
  // What a node that has died had in flight at a replica.
  struct OrphanedAttempts {
    int in_flight = 0;
    Time until = 0;
  };
  // What this node observes of a replica, and what it announced of it.
  struct Replica {
    policy::ReplicaView view;
    bool listed = false;
    policy::PeerReplicaReport announced;
    Time announced_at = 0;
    std::map<std::string, OrphanedAttempts> orphans;  // by dead node
  };
  // A node whose report counts against a replica.
  struct Reporter {
    std::string name;
    std::string zone;
    Time since;   // when it failed there last, or began to wait
    bool failed;  // else stalled
  };
  // One node's mean, weighted by its samples.
  struct SlownessSample {
    double slowness;
    double samples;
  };
  // What is reported of one replica.
  struct Case {
    std::vector<Reporter> reporters;
    std::string answered_by;
    Time answered_at = -1;
    std::vector<SlownessSample> slowness;
    bool reported_slow = false;
  };
  using Cases = std::map<policy::ReplicaId, Case>;
  static constexpr std::size_t kMaxPeers = 4096;

  bool IsTrusted(const PeerState& peer, Time now) const;
  // It has failed there, more than once or so that it is ejected.
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
  // Whether `node` is among the reporters that go on trying the replica, so that all nodes agree on who does.
  bool KeepsProbing(const std::string& node, policy::ReplicaId replica,
                    const std::vector<std::string>& reporters) const;
  OutlierReport OwnReport(Time now, const policy::ReplicaView& view) const;
  // Attempts of a member that has gone count until they must have ended.
  void RecordOrphans(Time now, const std::string& node, const PeerState& peer);

  void AddReport(const std::string& name, const std::string& zone, const OutlierReport& report, Time now,
                 Time age, Cases* cases) const;
  Cases CollectCases(Time now) const;
  Finding Conclude(Time now, policy::ReplicaId id, Case* one);
  void LimitEjections();
  policy::PeerReplicaReport ReportFor(Time now, policy::ReplicaId id, Replica* replica, Time ejected_until,
                                      Case* one, double share) const;
  bool HasChanged(Time now, const Replica& replica, const policy::PeerReplicaReport& report) const;
  static SlownessSample WeightedMedian(std::vector<SlownessSample>& all);

  std::string self_;
  OutlierConsensusLimits limits_;
  std::map<policy::ReplicaId, Replica> fleet_;
  std::map<std::string, PeerState> peers_;
  std::string zone_;
  bool several_zones_ = false;
  bool suspects_itself_ = false;
  int failing_ = 0;                            // replicas that are ejected here by own failures
  int contradicted_ = 0;                       // reported replicas that answered here lately
  std::set<policy::ReplicaId> reported_slow_;  // by somebody: this node is to report what it found
  std::vector<Finding> findings_;
};

}  // namespace ryeglade::gossip
