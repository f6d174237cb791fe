#include "gossip/traffic_share_model.h"

#include <algorithm>
#include <cmath>

namespace ryeglade::gossip {

TrafficShareModel::TrafficShareModel(std::string self, std::uint64_t incarnation, Time now,
                                     TrafficShareLimits limits)
    : self_(std::move(self)), limits_(limits), started_at_(now), updated_at_(now), targets_since_(now) {
  own_.incarnation = incarnation;
}

void TrafficShareModel::OnArrival(Time now) { arrivals_.Add(now, limits_.window, 1); }

std::optional<NodeReport> TrafficShareModel::NextReport(Time now, bool urgent) {
  const Time interval = urgent ? limits_.report_interval : report_interval();
  if (reported_at_ >= 0 && now - reported_at_ < interval) return std::nullopt;
  reported_at_ = now;
  ++own_.sequence;
  // A decaying count covers less than the window until the process has run for several windows.
  const double window = static_cast<double>(limits_.window) / 1e6;
  const double uptime = static_cast<double>(now - started_at_) / 1e6;
  const double covered = window * (1 - std::exp(-uptime / window));
  own_.rate =
      covered > 0.2 * window ? std::min(kMaxRate, arrivals_.ValueAt(now, limits_.window) / covered) : 0;
  return own_;
}

Time TrafficShareModel::report_interval() const {
  const Time for_all = limits_.report_interval_per_node * static_cast<Time>(1 + peers_.size());
  return std::max(limits_.report_interval, std::min(for_all, limits_.max_report_interval));
}

bool TrafficShareModel::OnReport(Time now, const std::string& node, const NodeReport& report) {
  if (node == self_ || !std::isfinite(report.rate) || report.rate < 0 || report.rate > kMaxRate) return false;
  const auto it = peers_.find(node);
  if (it == peers_.end()) return false;  // not a member: SetMembers must add it first
  Peer& peer = it->second;
  const bool newer = report.incarnation != peer.report.incarnation
                         ? report.incarnation > peer.report.incarnation
                         : report.sequence > peer.report.sequence;
  if (peer.received_at >= 0 && !newer) return false;
  peer.report = report;
  peer.received_at = now;
  return true;
}

void TrafficShareModel::SetMembers(Time now, const std::vector<std::string>& members, bool certain,
                                   bool stable) {
  certain_ = certain;
  stable_ = certain && stable;
  if (certain) {
    uncertain_since_ = -1;
    // If the view is uncertain, absent nodes stay members.
    for (auto& [name, peer] : peers_) peer.member = false;
  } else if (uncertain_since_ < 0) {
    uncertain_since_ = now;
  }
  for (const std::string& name : members) {
    if (name == self_ || (!peers_.contains(name) && peers_.size() >= kMaxPeers)) continue;
    peers_[name].member = true;
  }
  if (stable_) std::erase_if(peers_, [](const auto& entry) { return !entry.second.member; });
}

// A node's share is its rate plus a fraction of the mean rate, divided by the sum of these over all nodes.
// The added fraction is needed because traffic may move at any time, and a node without any must be able to
// serve the first request that it gets.
std::vector<TrafficShareModel::NodeShare> TrafficShareModel::ComputeShares(Time now, bool with_absent) const {
  std::vector<NodeShare> all{{self_, own_.rate, reported_at_ >= 0, false, false, 0}};
  for (const auto& [name, peer] : peers_) {
    if (!peer.member && !with_absent) continue;
    const bool reported = peer.received_at >= 0;
    const bool stale = reported && now - peer.received_at > limits_.stale_after;
    all.push_back({name, peer.report.rate, reported, stale, !peer.member, 0});
  }
  std::vector<double> rates;
  for (const NodeShare& node : all) {
    if (node.reported) rates.push_back(node.rate);
  }
  const double max_counted_rate = MaxCountedRate(rates);
  double sum = 0;
  double reporting = 0;
  for (NodeShare& node : all) {
    node.rate = std::min(node.rate, max_counted_rate);
    if (!node.reported) continue;
    sum += node.rate;
    ++reporting;
  }
  const double mean = reporting > 0 ? sum / reporting : 0;
  double total = 0;
  for (NodeShare& node : all) {
    if (!node.reported) node.rate = mean;
    total += node.rate + limits_.base_share * mean;
  }
  for (NodeShare& node : all) {
    node.share =
        total > 0 ? (node.rate + limits_.base_share * mean) / total : 1 / static_cast<double>(all.size());
  }
  return all;
}

double TrafficShareModel::ComputeShare(Time now, bool with_absent) const {
  return ComputeShares(now, with_absent).front().share;
}

// Keeps the share for the freeze time, then moves it in steps to the share of a node without gossip.
double TrafficShareModel::ShareWhileUncertain(Time now, double equal_share, double seconds_passed) {
  targets_.clear();
  targets_since_ = now;
  if (uncertain_since_ < 0 || now - uncertain_since_ <= limits_.freeze_time) {
    state_ = "held";
    return share_;
  }
  const double max_factor = 1 + limits_.step_per_second * seconds_passed;
  share_ = share_ > equal_share ? std::max(equal_share, share_ / max_factor)
                                : std::min(equal_share, share_ * max_factor);
  state_ = share_ == equal_share ? "equal" : "stepping-back";
  return share_;
}

double TrafficShareModel::UpdateShare(Time now, std::size_t nodes) {
  const double equal_share = 1 / static_cast<double>(std::max<std::size_t>(1, nodes));
  const double seconds_passed = static_cast<double>(std::max<Time>(0, now - updated_at_)) / 1e6;
  updated_at_ = now;
  if (share_ <= 0) share_ = equal_share;
  if (!certain_) return ShareWhileUncertain(now, equal_share, seconds_passed);
  state_ = "shares";
  double target = ComputeShare(now, false);
  if (stable_) {
    last_stable_share_ = target;
  } else {
    // Absent members may still be running and using their own share.
    const double with_absent = std::max(ComputeShare(now, true), last_stable_share_);
    target = std::min(target, with_absent * (1 + limits_.max_unstable_rise));
  }
  while (!targets_.empty() && targets_.back().second >= target) targets_.pop_back();
  targets_.emplace_back(now, target);
  while (targets_.size() > 1 && now - targets_.front().first > limits_.rise_delay) targets_.pop_front();
  const double lowest = targets_.front().second;
  if (target < share_) {
    share_ = target;
  } else if (lowest > share_ && now - targets_since_ >= limits_.rise_delay) {
    share_ = lowest;
  }
  return share_;
}

std::vector<TrafficShareModel::NodeShare> TrafficShareModel::Explain(Time now) const {
  return ComputeShares(now, false);
}

}  // namespace ryeglade::gossip
