#include "gossip/outlier_consensus_model.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace ryeglade::gossip {
namespace {

using policy::DecayingCounter;
using policy::PeerReplicaReport;
using policy::ReplicaId;

// Spans in microseconds, slowness as ln(observed / expected).
constexpr Time kSlownessDecayTime = 10'000'000;   // same value as in the decision module
constexpr double kFailureSlowness = 1.1;          // same value as in the decision module
constexpr double kMinUsefulSlowness = 1.0;        // the decision module gets no lower slowness
constexpr double kSlownessChange = 0.1;           // a slowness that has changed by this is announced again
constexpr Time kReannounceAfter = 4'000'000;      // slowness is announced again, as it decays in the module
constexpr Time kRenewEjectionBefore = 1'000'000;  // an ejection is renewed this long before it ends
constexpr int kMaxFailingUnsuspicious = 2;        // up to this many failing replicas raise no self-suspicion
constexpr std::size_t kMaxFindings = 256;

}  // namespace

// Returns the value with half of the weight on either side; AddReport bounds the weight of each node. Of two
// samples it is the one nearer to 0.
OutlierConsensusModel::SlownessSample OutlierConsensusModel::WeightedMedian(
    std::vector<SlownessSample>& all) {
  std::sort(all.begin(), all.end(),
            [](const SlownessSample& a, const SlownessSample& b) { return a.slowness < b.slowness; });
  double total = 0;
  for (const SlownessSample& sample : all) total += sample.samples;
  if (all.size() == 2) {
    const bool first = std::abs(all[0].slowness) < std::abs(all[1].slowness);
    return {first ? all[0].slowness : all[1].slowness, total};
  }
  double below = 0;
  for (const SlownessSample& sample : all) {
    below += sample.samples;
    if (2 * below >= total) return {sample.slowness, total};
  }
  return {0, 0};
}

void OutlierConsensusModel::ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet,
                                            bool suspects_itself) {
  for (auto& [id, replica] : fleet_) replica.listed = false;
  int used = 0;
  failing_ = 0;
  for (const policy::ReplicaView& view : fleet) {
    Replica& replica = fleet_[view.endpoint.id];
    if (replica.view.endpoint.started_at != view.endpoint.started_at) replica = Replica{};
    replica.view = view;
    replica.listed = true;
    const bool ejected = view.ejected_until > now;
    const bool answered_lately =
        view.slowness_updated_at > 0 && now - view.slowness_updated_at < limits_.max_report_age;
    if (ejected) ++failing_;
    if (ejected || answered_lately) ++used;
  }
  std::erase_if(fleet_, [](const auto& entry) { return !entry.second.listed; });
  suspects_itself_ = suspects_itself ||
                     (failing_ > kMaxFailingUnsuspicious && failing_ > limits_.self_suspicion_share * used);
}

OutlierReport OutlierConsensusModel::OwnReport(Time now, const policy::ReplicaView& view) const {
  const Time age = now - view.slowness_updated_at;
  OutlierReport report;
  report.replica = view.endpoint.id;
  report.started_at = view.endpoint.started_at;
  report.consecutive_failures = view.consecutive_failures;
  report.ejected_for = std::max<Time>(0, view.ejected_until - now);
  report.slowness = view.slowness;
  report.slowness_samples = view.slowness_samples * DecayingCounter::DecayFactor(age, kSlownessDecayTime);
  report.in_flight = view.in_flight;
  if (view.slowness_updated_at > 0 && age <= kMaxSpan) report.last_outcome_age = age;
  if (view.prefill_backlog_tokens >= 1 && view.in_flight > 0)
    report.stalled_for = std::min(kMaxSpan, now - view.no_response_since);
  return report;
}

bool OutlierConsensusModel::KeepsProbing(const std::string& node, ReplicaId replica,
                                         const std::vector<std::string>& reporters) const {
  const auto rank = [replica](const std::string& name) {
    return XXH3_64bits_withSeed(name.data(), name.size(), replica);
  };
  const std::uint64_t own = rank(node);
  const auto ranked_higher = static_cast<std::size_t>(
      std::count_if(reporters.begin(), reporters.end(),
                    [&](const std::string& name) { return name != node && rank(name) > own; }));
  return ranked_higher <
         std::max(limits_.probing_reporters, (peers_.size() + 1) / limits_.nodes_per_probing_reporter);
}

void OutlierConsensusModel::FillReport(Time now, NodeReport* report) const {
  report->suspects_itself = suspects_itself_;
  report->failing_replicas = failing_;
  report->outlier_reports.clear();
  // The most severe first: replicas that fail here, then those that others report although they answered
  // here, then slow ones.
  std::vector<std::pair<double, OutlierReport>> all;  // with their severity
  std::set<ReplicaId> reported_by_others;
  for (const Finding& finding : findings_) reported_by_others.insert(finding.replica);
  for (const auto& [id, replica] : fleet_) {
    const OutlierReport own = OwnReport(now, replica.view);
    double severity = 0;
    if (ReportsOutlier(own, 0)) {
      severity = 1000 + own.consecutive_failures;
    } else if (reported_by_others.contains(id) && ReportsAnswer(own) &&
               own.last_outcome_age < limits_.max_report_age) {
      severity = 500;
    } else if (ReportsSlowness(own) || (reported_slow_.contains(id) && own.slowness_samples >= 1)) {
      severity = 1 + std::min(own.slowness_samples, 100.0);
    }
    if (severity > 0) all.emplace_back(severity, own);
  }
  const std::size_t count = std::min(all.size(), kMaxOutlierReports);
  std::partial_sort(all.begin(), all.begin() + static_cast<std::ptrdiff_t>(count), all.end(),
                    [](const auto& a, const auto& b) {
                      return a.first != b.first ? a.first > b.first : a.second.replica < b.second.replica;
                    });
  for (std::size_t i = 0; i < count; ++i) report->outlier_reports.push_back(all[i].second);
}

void OutlierConsensusModel::OnReport(Time made_at, const std::string& node, const NodeReport& report) {
  const auto it = peers_.find(node);
  if (node == self_ || it == peers_.end()) return;
  it->second.report = report;
  it->second.made_at = made_at;
}

void OutlierConsensusModel::SetMembers(Time now, const std::vector<Peer>& members, const std::string& zone,
                                       bool certain) {
  zone_ = zone;
  several_zones_ = false;
  for (auto& [name, peer] : peers_) peer.member = false;
  for (const Peer& member : members) {
    several_zones_ = several_zones_ || member.zone != zone;
    if (member.name == self_ || (!peers_.contains(member.name) && peers_.size() >= kMaxPeers)) continue;
    PeerState& peer = peers_[member.name];
    peer.member = true;
    peer.zone = member.zone;
  }
  if (!certain) return;
  for (auto it = peers_.begin(); it != peers_.end();) {
    if (it->second.member) {
      ++it;
      continue;
    }
    RecordOrphans(now, it->first, it->second);
    it = peers_.erase(it);
  }
}

void OutlierConsensusModel::RecordOrphans(Time now, const std::string& node, const PeerState& peer) {
  if (now - peer.made_at > limits_.orphan_lifetime) return;
  for (const OutlierReport& report : peer.report.outlier_reports) {
    const auto it = fleet_.find(report.replica);
    if (report.in_flight == 0 || it == fleet_.end() ||
        it->second.view.endpoint.started_at != report.started_at)
      continue;
    it->second.orphans[node] = {report.in_flight, peer.made_at + limits_.orphan_lifetime};
  }
}

bool OutlierConsensusModel::IsTrusted(const PeerState& peer, Time now) const {
  if (!peer.member || peer.report.suspects_itself || now - peer.made_at > limits_.max_report_age)
    return false;
  // If more than this many replicas fail for one node but not for the others, its own network is the likely
  // cause.
  const double max_failing = std::max<double>(kMaxFailingUnsuspicious,
                                              limits_.max_ejected_share * static_cast<double>(fleet_.size()));
  const auto& reports = peer.report.outlier_reports;
  const auto ejected = std::count_if(reports.begin(), reports.end(),
                                     [](const OutlierReport& report) { return report.ejected_for > 0; });
  return std::max(static_cast<double>(peer.report.failing_replicas), static_cast<double>(ejected)) <=
         max_failing;
}

OutlierConsensusModel::Reporter OutlierConsensusModel::MakeReporter(const std::string& name,
                                                                    const std::string& zone,
                                                                    const OutlierReport& report, Time now,
                                                                    Time age) const {
  const bool failed = ReportsFailure(report, age);
  return {name, zone, now - age - (failed ? report.last_outcome_age : report.stalled_for), failed};
}

void OutlierConsensusModel::AddReport(const std::string& name, const std::string& zone,
                                      const OutlierReport& report, Time now, Time age,
                                      ReportsByReplica* by_replica) const {
  CombinedReports& combined = (*by_replica)[report.replica];
  // A reporter's failure or stall counts only if no node has got an answer since; Conclude checks that.
  if (ReportsOutlier(report, age)) combined.reporters.push_back(MakeReporter(name, zone, report, now, age));
  const Time outcome_at = now - age - report.last_outcome_age;
  if (ReportsAnswer(report) && outcome_at > combined.answered_at) {
    combined.answered_at = outcome_at;
    combined.answered_by = name;
  }
  combined.reported_slow = combined.reported_slow || ReportsSlowness(report);
  const double samples =
      std::min(limits_.max_peer_samples,
               report.slowness_samples * DecayingCounter::DecayFactor(age, kSlownessDecayTime));
  if (name != self_ && samples >= 0.5)
    combined.slowness.push_back({std::clamp(report.slowness, -2.0, 2.0), samples});
}

OutlierConsensusModel::ReportsByReplica OutlierConsensusModel::CombineReports(Time now) const {
  ReportsByReplica by_replica;
  for (const auto& [name, peer] : peers_) {
    if (!IsTrusted(peer, now)) continue;
    for (const OutlierReport& report : peer.report.outlier_reports) {
      const auto it = fleet_.find(report.replica);
      if (it != fleet_.end() && it->second.view.endpoint.started_at == report.started_at)
        AddReport(name, peer.zone, report, now, std::max<Time>(0, now - peer.made_at), &by_replica);
    }
  }
  return by_replica;
}

// Decides whether this node ejects the replica. Its own failures count like a peer's; its own recent answers
// take precedence over the peers' reports.
OutlierConsensusModel::Finding OutlierConsensusModel::Conclude(Time now, ReplicaId id,
                                                               CombinedReports* reports) {
  const OutlierReport own = OwnReport(now, fleet_[id].view);
  if (!suspects_itself_ && ReportsOutlier(own, 0))
    reports->reporters.push_back(MakeReporter(self_, zone_, own, now, 0));
  if (ReportsAnswer(own) && now - own.last_outcome_age > reports->answered_at) {
    reports->answered_at = now - own.last_outcome_age;
    reports->answered_by = self_;
  }
  Finding finding;
  finding.replica = id;
  finding.answered_by = reports->answered_by;
  std::set<std::string> zones;
  std::size_t failed = 0;
  for (const Reporter& reporter : reports->reporters) {
    if (reporter.since <= reports->answered_at) continue;
    finding.reporters.push_back(reporter.name);
    zones.insert(reporter.zone);
    failed += reporter.failed ? 1 : 0;
  }
  if (ReportsAnswer(own) && own.last_outcome_age < limits_.max_report_age) ++contradicted_;

  if (finding.reporters.empty()) {
    finding.reason = "answered-since";
    return finding;
  }
  const bool enough_reporters =
      failed >= limits_.required_reporters ||
      finding.reporters.size() >= std::max(limits_.required_reporters, limits_.required_if_stalled);
  const bool enough_zones = !several_zones_ || zones.size() >= 2 || zones.contains(zone_);
  if (!enough_reporters || !enough_zones) {
    finding.reason = "too-few-accusers";
  } else if (ReportsAnswer(own) && own.last_outcome_age < limits_.own_answer_valid) {
    finding.reason = "answers-here";
  } else if (!suspects_itself_ && ReportsFailure(own, 0) && KeepsProbing(self_, id, finding.reporters)) {
    finding.reason = "tries";
  } else {
    finding.ejected_until = now + limits_.ejection_time;
    finding.reason = "left-alone";
  }
  return finding;
}

// If more replicas would be ejected than the share allows, only those with the most reporters are.
void OutlierConsensusModel::LimitEjections() {
  std::vector<Finding*> ejected;
  for (Finding& finding : findings_) {
    if (finding.ejected_until > 0) ejected.push_back(&finding);
  }
  const std::size_t max = std::max<std::size_t>(
      fleet_.size() >= 4 ? 1 : 0,
      static_cast<std::size_t>(limits_.max_ejected_share * static_cast<double>(fleet_.size())));
  if (ejected.size() <= max) return;
  std::sort(ejected.begin(), ejected.end(), [](const Finding* a, const Finding* b) {
    return a->reporters.size() != b->reporters.size() ? a->reporters.size() > b->reporters.size()
                                                      : a->replica < b->replica;
  });
  for (std::size_t i = max; i < ejected.size(); ++i) {
    ejected[i]->ejected_until = 0;
    ejected[i]->reason = "too-many-out";
  }
}

PeerReplicaReport OutlierConsensusModel::ReportFor(Time now, ReplicaId id, Replica* replica,
                                                   Time ejected_until, CombinedReports* reports,
                                                   double share) const {
  PeerReplicaReport report{id, replica->view.endpoint.started_at, 0, 0, 0, 0};
  report.ejected_until = ejected_until;
  if (reports != nullptr && reports->reported_slow && reports->slowness.size() >= 2) {
    const SlownessSample median = WeightedMedian(reports->slowness);
    if (median.slowness >= kMinUsefulSlowness) {
      report.slowness = median.slowness;
      report.slowness_samples =
          std::min(limits_.max_peer_samples, limits_.peer_answer_weight * median.samples);
    }
  }
  // As after failures of this node's own, an ejected replica is reported as slow, so that its concurrency
  // limits go to the other replicas.
  if (report.ejected_until > now && report.slowness < kFailureSlowness) {
    report.slowness = kFailureSlowness;
    report.slowness_samples = limits_.max_peer_samples;
  }
  std::erase_if(replica->orphans, [&](const auto& entry) { return entry.second.until <= now; });
  for (const auto& [name, orphans] : replica->orphans) report.orphaned_in_flight += share * orphans.in_flight;
  return report;
}

bool OutlierConsensusModel::HasChanged(Time now, const Replica& replica,
                                       const PeerReplicaReport& report) const {
  const PeerReplicaReport& before = replica.announced;
  const bool ejection_changed = report.ejected_until > now ? before.ejected_until < now + kRenewEjectionBefore
                                                           : before.ejected_until > now;
  const bool renewal_due = report.slowness_samples > 0 && now - replica.announced_at > kReannounceAfter;
  return ejection_changed || std::abs(report.slowness - before.slowness) > kSlownessChange ||
         std::abs(report.slowness_samples - before.slowness_samples) >
             0.5 * std::max(1.0, before.slowness_samples) ||
         std::abs(report.orphaned_in_flight - before.orphaned_in_flight) > 0.1 || renewal_due;
}

std::vector<PeerReplicaReport> OutlierConsensusModel::Evaluate(Time now, double share) {
  ReportsByReplica by_replica = CombineReports(now);
  findings_.clear();
  reported_slow_.clear();
  contradicted_ = 0;
  for (auto& [id, reports] : by_replica) {
    if (reports.reported_slow) reported_slow_.insert(id);
    if (reports.reporters.empty() || findings_.size() >= kMaxFindings) continue;
    findings_.push_back(Conclude(now, id, &reports));
  }
  LimitEjections();

  std::map<ReplicaId, Time> ejected_until;
  for (const Finding& finding : findings_) ejected_until[finding.replica] = finding.ejected_until;
  std::vector<PeerReplicaReport> changed;
  for (auto& [id, replica] : fleet_) {
    const auto ejection = ejected_until.find(id);
    const auto found = by_replica.find(id);
    const PeerReplicaReport report =
        ReportFor(now, id, &replica, ejection == ejected_until.end() ? 0 : ejection->second,
                  found == by_replica.end() ? nullptr : &found->second, share);
    if (!HasChanged(now, replica, report)) continue;
    replica.announced = report;
    replica.announced_at = now;
    changed.push_back(report);
  }
  return changed;
}

std::vector<PeerReplicaReport> OutlierConsensusModel::WithdrawAll(Time now) {
  std::vector<PeerReplicaReport> changed;
  findings_.clear();
  for (auto& [id, replica] : fleet_) {
    replica.orphans.clear();
    const PeerReplicaReport& announced = replica.announced;
    if (announced.slowness_samples <= 0 && announced.ejected_until <= now &&
        announced.orphaned_in_flight <= 0)
      continue;
    replica.announced = {id, replica.view.endpoint.started_at, 0, 0, 0, 0};
    replica.announced_at = now;
    changed.push_back(replica.announced);
  }
  return changed;
}

}  // namespace ryeglade::gossip
