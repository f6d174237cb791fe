#include "gossip/shared_state_model.h"

#include <cmath>
#include <utility>

namespace ryeglade::gossip {
namespace {

constexpr double kMinRelativeChange = 0.02;  // a share is announced again after a change by this fraction

}  // namespace

SharedStateModel::SharedStateModel(std::string self, std::uint64_t incarnation, Time now,
                                   GossipFeatures features, SharedStateLimits limits)
    : self_(std::move(self)),
      features_(features),
      limits_(limits),
      traffic_shares_(self_, incarnation, now, limits.traffic_share),
      outliers_(self_, limits.outliers),
      prefix_traffic_(self_, now, limits.prefix_traffic) {}

void SharedStateModel::OnArrival(Time now, std::uint64_t prefix) {
  traffic_shares_.OnArrival(now);
  if (features_.prefix_traffic) prefix_traffic_.OnArrival(now, prefix);
}

void SharedStateModel::SetMembers(Time now, const std::vector<OutlierConsensusModel::Peer>& members,
                                  const std::string& zone, bool certain, bool stable) {
  certain_ = certain;
  if (certain) {
    uncertain_since_ = -1;
  } else if (uncertain_since_ < 0) {
    uncertain_since_ = now;
  }
  std::vector<std::string> names;
  names.reserve(members.size());
  for (const OutlierConsensusModel::Peer& member : members) names.push_back(member.name);
  traffic_shares_.SetMembers(now, names, certain, stable);
  outliers_.SetMembers(now, members, zone, certain);
  if (!certain || !stable) return;
  std::set<std::string> current(names.begin(), names.end());
  for (const std::string& name : members_) {
    if (!current.contains(name)) prefix_traffic_.RemoveNode(name);
  }
  members_ = std::move(current);
}

void SharedStateModel::ObserveReplicas(Time now, const std::vector<policy::ReplicaView>& fleet,
                                       bool suspects_itself) {
  outliers_.ObserveReplicas(now, fleet, suspects_itself || !certain_);
}

bool SharedStateModel::OnMessage(Time now, const GossipMessage& message) {
  if (!traffic_shares_.OnReport(now, message.node, message.report)) return false;
  const Time made_at = now - message.age;
  outliers_.OnReport(made_at, message.node, message.report);
  if (features_.prefix_traffic) prefix_traffic_.OnReport(made_at, message.node, message.report);
  return true;
}

std::optional<NodeReport> SharedStateModel::NextReport(Time now) {
  const int urgent = features_.outlier_reports ? outliers_.urgent_reports() : 0;
  std::optional<NodeReport> report = traffic_shares_.NextReport(now, urgent > urgent_reports_);
  if (!report) return report;
  urgent_reports_ = urgent;
  if (features_.outlier_reports) outliers_.FillReport(now, &*report);
  if (features_.prefix_traffic) prefix_traffic_.FillReport(now, &*report);
  return report;
}

std::vector<policy::Event> SharedStateModel::Evaluate(Time now, std::size_t nodes) {
  std::vector<policy::Event> events;
  share_ = traffic_shares_.UpdateShare(now, nodes);
  const bool near_announced =
      announced_share_ > 0 && std::abs(share_ / announced_share_ - 1) < kMinRelativeChange;
  if (features_.traffic_shares && !near_announced) {
    announced_share_ = share_;
    events.emplace_back(policy::TrafficShareChanged{share_});
  }
  if (evaluated_at_ != 0 && now - evaluated_at_ < limits_.evaluate_interval) return events;
  evaluated_at_ = now;
  const bool uncertain_for_long = uncertain_since_ >= 0 && now - uncertain_since_ > limits_.freeze_time;
  if (features_.outlier_reports && (certain_ || uncertain_for_long)) {
    // While the view is uncertain nothing new is announced. After the freeze time all reports are withdrawn;
    // until then ejections end and slowness decays in the decision module.
    policy::PeerReportsReceived reports{certain_ ? outliers_.Evaluate(now, share_)
                                                 : outliers_.WithdrawAll(now)};
    if (!reports.replicas.empty()) events.emplace_back(std::move(reports));
  }
  if (features_.prefix_traffic) {
    policy::PrefixTrafficReceived shares;
    const bool changed = certain_ ? prefix_traffic_.UpdateShares(now, &shares)
                                  : uncertain_for_long && prefix_traffic_.WithdrawAll(&shares);
    if (changed) events.emplace_back(std::move(shares));
  }
  return events;
}

}  // namespace ryeglade::gossip
