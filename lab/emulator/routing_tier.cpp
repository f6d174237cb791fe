#include "lab/emulator/routing_tier.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ryeglade::emulator {
namespace {

constexpr double kLie = 1000;
constexpr Time kTellEach = 40'000;  // as the node does

}  // namespace

RoutingTier::RoutingTier(const RoutingTierSpec& spec, std::vector<double> weights, int zones,
                         std::uint64_t seed)
    : spec_(spec),
      zones_(zones),
      weights_(std::move(weights)),
      nodes_(weights_.size()),
      random_(seed, RandomPurpose::kNetwork, 7) {
  limits_.traffic_share.report_interval_per_node = kTellEach;
  names_.reserve(nodes_.size());
  for (std::size_t i = 0; i < nodes_.size(); ++i) names_.push_back(fmt::format("n{}", i));
}

void RoutingTier::Starts(std::size_t n, Time now) {
  Node& node = nodes_[n];
  node.up = true;
  node.tier = std::make_unique<gossip::SharedStateModel>(
      names_[n], ++node.life, now,
      gossip::GossipFeatures{spec_.shares_traffic(), spec_.shares_outlier_reports(),
                             spec_.shares_prefix_traffic()},
      limits_);
  node.lost.assign(nodes_.size(), -1);
  node.view.assign(nodes_.size(), false);
  node.size = 0;
  node.changed = now;
  node.told = 0;
}

bool RoutingTierSpec::IsValid() const {
  if (gossip_mode.empty()) return true;
  const std::string what = gossip_mode.substr(0, gossip_mode.find('-'));
  const std::string_view use = std::string_view(gossip_mode).substr(what.size());
  return (what == "talk" || what == "oracle") &&
         (use.empty() || use == "-parts" || use == "-evidence" || use == "-beginnings");
}

void RoutingTier::Arrives(std::size_t n, Time now, std::uint64_t prefix) {
  if (nodes_[n].tier && !spec_.oracle()) nodes_[n].tier->OnArrival(now, prefix);
}

void RoutingTier::Look(std::size_t o, Time now) {
  Node& node = nodes_[o];
  const Time detect = static_cast<Time>(spec_.detect * 1e6);
  std::size_t reached = 1, live = 1;
  bool changed = false;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == o) continue;
    if (Hears(m, o) && Hears(o, m)) {
      node.lost[m] = -1;
      ++reached;
      changed = changed || !node.view[m];
      node.view[m] = true;
    } else if (node.lost[m] < 0) {
      node.lost[m] = now;
    }
  }
  const bool doubt = node.size >= 2 && 2 * reached <= node.size;
  std::vector<gossip::OutlierConsensusModel::Peer> members;
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == o || !node.view[m]) continue;
    if (!doubt && node.lost[m] >= 0 && now - node.lost[m] >= detect) {
      node.view[m] = false;
      changed = true;
      continue;
    }
    members.push_back({names_[m], zones_ > 1 ? names_[m % static_cast<std::size_t>(zones_)] : ""});
    ++live;
  }
  if (changed) node.changed = now;
  const bool settled = !doubt && now - node.changed >= static_cast<Time>(spec_.settles * 1e6);
  if (settled) node.size = live;
  const std::string zone = zones_ > 1 ? names_[o % static_cast<std::size_t>(zones_)] : "";
  node.tier->SetMembers(now, members, zone, !doubt && live > 1, settled);
}

void RoutingTier::Spread(std::size_t from, Time now, gossip::NodeReport word) {
  if (static_cast<int>(from) == spec_.byzantine_node) {
    word.rate *= kLie;
    word.outlier_reports.clear();
    for (const policy::ReplicaView& v : fleet_) {
      if (word.outlier_reports.size() == gossip::kMaxOutlierReports) break;
      word.outlier_reports.push_back(
          {v.endpoint.id, v.endpoint.started_at, 9, gossip::kMaxSpan, -1, 4, 255, 255});
    }
  }
  const auto shared = std::make_shared<const gossip::NodeReport>(std::move(word));
  for (std::size_t m = 0; m < nodes_.size(); ++m) {
    if (m == from || !Hears(from, m) || random_.Chance(spec_.loss)) continue;
    way_.push(
        {now + static_cast<Time>(random_.Exponential(spec_.delay) * 1e6), ++order_, m, from, now, shared});
  }
}

RoutingTier::Told RoutingTier::Turn(Time now, const Sight& sight) {
  Told told;
  if (spec_.oracle()) {
    double whole = 0;
    for (std::size_t i = 0; i < nodes_.size(); ++i) whole += nodes_[i].up ? weights_[i] : 0;
    for (std::size_t i = 0; i < nodes_.size() && spec_.shares_traffic(); ++i) {
      const double share = whole > 0 ? weights_[i] / whole : 1;
      if (!nodes_[i].up || std::abs(share - nodes_[i].told) < 1e-9) continue;
      nodes_[i].told = share;
      told.emplace_back(i, policy::TrafficShareChanged{share});
    }
    return told;
  }
  while (!way_.empty() && way_.top().due <= now) {
    const OnItsWay w = way_.top();
    way_.pop();
    if (nodes_[w.to].up) nodes_[w.to].tier->OnMessage(now, {names_[w.from], now - w.made, *w.word});
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    Node& node = nodes_[i];
    if (!node.up) continue;
    Look(i, now);
    if (spec_.shares_outlier_reports()) {
      fleet_.clear();
      sight(i, &fleet_);
      node.tier->ObserveReplicas(now, fleet_, false);
    }
    if (std::optional<gossip::NodeReport> word = node.tier->NextReport(now)) Spread(i, now, std::move(*word));
  }
  for (std::size_t i = 0; i < nodes_.size(); ++i) {
    if (!nodes_[i].up) continue;
    for (policy::Event& e : nodes_[i].tier->Evaluate(now, nodes_.size())) told.emplace_back(i, std::move(e));
  }
  return told;
}

}  // namespace ryeglade::emulator
