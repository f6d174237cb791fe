#include "lab/emulator/routing_tier.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ryeglade::emulator {
namespace {

constexpr double kByzantineRateFactor = 1000;
constexpr Time kReportInterval = 40'000;  // times the number of nodes in the view, as in the program

}  // namespace

RoutingTier::RoutingTier(const RoutingTierSpec& spec, std::vector<double> weights, int zones,
                         std::uint64_t seed)
    : spec_(spec),
      zones_(zones),
      weights_(std::move(weights)),
      nodes_(weights_.size()),
      random_(seed, RandomPurpose::kNetwork, 7) {
  limits_.traffic_share.report_interval_per_node = kReportInterval;
  names_.reserve(nodes_.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) names_.push_back(fmt::format("n{}", i));
}

void RoutingTier::OnNodeStarted(std::size_t n, Time now) {
  Node& node = nodes_[n];
  node.up = true;
  node.shared_state = std::make_unique<gossip::SharedStateModel>(
      names_[n], ++node.incarnation, now,
      gossip::GossipFeatures{spec_.shares_traffic(), spec_.shares_outlier_reports(),
                             spec_.shares_prefix_traffic()},
      limits_);
  node.unreachable_since.assign(nodes_.size(), -1);
  node.in_view.assign(nodes_.size(), false);
  node.settled_size = 0;
  node.changed_at = now;
  node.announced_share = 0;
}

bool RoutingTierSpec::IsValid() const {
  if (gossip_mode.empty()) return true;
  const std::string what = gossip_mode.substr(0, gossip_mode.find('-'));
  const std::string_view use = std::string_view(gossip_mode).substr(what.size());
  return (what == "talk" || what == "oracle") &&
         (use.empty() || use == "-parts" || use == "-evidence" || use == "-beginnings");
}

void RoutingTier::OnArrival(std::size_t n, Time now, std::uint64_t prefix) {
  if (nodes_[n].shared_state && !spec_.oracle()) nodes_[n].shared_state->OnArrival(now, prefix);
}

void RoutingTier::UpdateView(std::size_t observer, Time now) {
  Node& node = nodes_[observer];
  const Time detection_delay = static_cast<Time>(spec_.detection_delay_s * 1e6);
  std::size_t reached = 1, live = 1;
  bool changed = false;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == observer) continue;
    if (CanReach(m, observer) && CanReach(observer, m)) {
      node.unreachable_since[m] = -1;
      ++reached;
      changed = changed || !node.in_view[m];
      node.in_view[m] = true;
    } else if (node.unreachable_since[m] < 0) {
      node.unreachable_since[m] = now;
    }
  }
  const bool no_majority = node.settled_size >= 2 && 2 * reached <= node.settled_size;
  std::vector<gossip::OutlierConsensusModel::Peer> members;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == observer || !node.in_view[m]) continue;
    if (!no_majority && node.unreachable_since[m] >= 0 &&
        now - node.unreachable_since[m] >= detection_delay) {
      node.in_view[m] = false;
      changed = true;
      continue;
    }
    members.push_back({names_[m], zones_ > 1 ? names_[m % static_cast<std::size_t>(zones_)] : ""});
    ++live;
  }
  if (changed) node.changed_at = now;
  const bool settled = !no_majority && now - node.changed_at >= static_cast<Time>(spec_.settle_time_s * 1e6);
  if (settled) node.settled_size = live;
  const std::string zone = zones_ > 1 ? names_[observer % static_cast<std::size_t>(zones_)] : "";
  node.shared_state->SetMembers(now, members, zone, !no_majority && live > 1, settled);
}

void RoutingTier::Broadcast(std::size_t from, Time now, gossip::NodeReport report) {
  if (static_cast<int>(from) == spec_.byzantine_node) {
    report.rate *= kByzantineRateFactor;
    report.outlier_reports.clear();
    for (const policy::ReplicaView& v : fleet_) {
      if (report.outlier_reports.size() == gossip::kMaxOutlierReports) break;
      report.outlier_reports.push_back(
          {v.endpoint.id, v.endpoint.started_at, 9, gossip::kMaxSpan, -1, 4, 255, 255});
    }
  }
  const auto shared = std::make_shared<const gossip::NodeReport>(std::move(report));
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == from || !CanReach(from, m) || random_.Chance(spec_.loss)) continue;
    in_transit_.push({now + static_cast<Time>(random_.Exponential(spec_.mean_delay_s) * 1e6), ++order_, m,
                      from, now, shared});
  }
}

RoutingTier::NodeEvents RoutingTier::Tick(Time now, const ReplicaViews& replica_views) {
  NodeEvents events;
  if (spec_.oracle()) {
    double total_weight = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) total_weight += nodes_[i].up ? weights_[i] : 0;
    for (std::size_t i = 0; i < nodes_.size() && spec_.shares_traffic(); ++i) {
      const double share = total_weight > 0 ? weights_[i] / total_weight : 1;
      if (!nodes_[i].up || std::abs(share - nodes_[i].announced_share) < 1e-9) continue;
      nodes_[i].announced_share = share;
      events.emplace_back(i, policy::TrafficShareChanged{share});
    }
    return events;
  }
  while (!in_transit_.empty() && in_transit_.top().due <= now) {
    const Delivery delivery = in_transit_.top();
    in_transit_.pop();
    if (nodes_[delivery.to].up)
      nodes_[delivery.to].shared_state->OnMessage(
          now, {names_[delivery.from], now - delivery.created_at, *delivery.report});
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (!node.up) continue;
    UpdateView(i, now);
    if (spec_.shares_outlier_reports()) {
      fleet_.clear();
      replica_views(i, &fleet_);
      node.shared_state->ObserveReplicas(now, fleet_, false);
    }
    if (std::optional<gossip::NodeReport> report = node.shared_state->NextReport(now))
      Broadcast(i, now, std::move(*report));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].up) continue;
    for (policy::Event& e : nodes_[i].shared_state->Evaluate(now, nodes_.size()))
      events.emplace_back(i, std::move(e));
  }
  return events;
}

}  // namespace ryeglade::emulator
