// This node's share of the tier's traffic. Concurrency limits and quotas are for the whole tier; this node
// uses its share of them.
#pragma once

#include <algorithm>
#include <optional>

#include "ryeglade/settings.h"

namespace ryeglade::policy {

// In a large tier each node has few requests for each replica and for each session or prefix, and traffic is
// spread unevenly over the nodes.
inline bool IsLargeTier(const Settings& settings) {
  constexpr int kMaxSmallTier = 8;  // nodes
  return settings.node_count > kMaxSmallTier;
}

class TrafficShare {
 public:
  explicit TrafficShare(int node_count) : equivalent_nodes_(node_count), nodes_at_scaling_(node_count) {}

  // 1 / this node's share: the number of nodes of a tier in which all have as much traffic as this one.
  double equivalent_nodes() const { return equivalent_nodes_; }

  // The tier has changed from `from` to `to` nodes. Returns the factor by which to multiply the limits.
  double ScaleNodeCount(double from, int to) { return Rescale(equivalent_nodes_ * to / from); }

  // Sets the share of the tier's traffic, above 0 and up to 1; other values are ignored. If the share has
  // fallen by much, returns the factor by which to multiply the limits. Otherwise returns nullopt: the limits
  // are learned from the outcomes, and those of a growing share have already been learned when the nodes
  // agree on the share.
  std::optional<double> SetShare(double share) {
    if (!(share > 0 && share <= 1)) return std::nullopt;
    equivalent_nodes_ = std::min(1 / share, kMaxNodes);
    nodes_at_scaling_ = std::min(nodes_at_scaling_, equivalent_nodes_);
    if (equivalent_nodes_ <= kScalingThreshold * nodes_at_scaling_) return std::nullopt;
    const double nodes = equivalent_nodes_;
    equivalent_nodes_ = nodes_at_scaling_;
    return Rescale(nodes);
  }

 private:
  static constexpr double kMaxNodes = 1e6;          // the share is at least 1 / kMaxNodes
  static constexpr double kScalingThreshold = 1.2;  // a fall by more than this factor scales the limits

  double Rescale(double nodes) {
    const double before = equivalent_nodes_;
    equivalent_nodes_ = std::clamp(nodes, 1.0, kMaxNodes);
    nodes_at_scaling_ = equivalent_nodes_;
    return before / equivalent_nodes_;
  }

  double equivalent_nodes_;  // 1 / share
  double nodes_at_scaling_;  // the lowest value of `equivalent_nodes_` since the limits were scaled last
};

}  // namespace ryeglade::policy
