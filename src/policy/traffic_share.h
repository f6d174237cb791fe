// This node's share of the tier's traffic. Concurrency limits and quotas are for the whole tier; this node
// keeps to its share of them.
#pragma once

#include <algorithm>
#include <optional>

#include "ryeglade/settings.h"

namespace ryeglade::policy {

// In a large tier each node sees few requests of each replica and of each key, and traffic is spread unevenly
// over the nodes.
inline bool IsLargeTier(const Settings& settings) {
  constexpr int kMaxSmallTier = 8;  // nodes
  return settings.node_count > kMaxSmallTier;
}

class TrafficShare {
 public:
  explicit TrafficShare(int node_count) : nodes_(node_count), nodes_at_scaling_(node_count) {}

  // One over this node's share: how many nodes the tier would have if all had as much traffic as this one.
  double equivalent_nodes() const { return nodes_; }

  // The tier's size has changed. Limits are to be multiplied by what it returns.
  double ScaleNodeCount(double from, int to) { return Rescale(nodes_ * to / from); }

  // The share of the tier's traffic, over 0 to 1; anything else is ignored. A share that grows leaves the
  // limits to what answers teach, as more traffic has taught them already by the time that the others have
  // heard of it. For one that falls by much it returns what limits are to be multiplied by at once.
  std::optional<double> SetShare(double share) {
    if (!(share > 0 && share <= 1)) return std::nullopt;
    nodes_ = std::min(1 / share, kMaxNodes);
    nodes_at_scaling_ = std::min(nodes_at_scaling_, nodes_);
    if (nodes_ <= kScalingThreshold * nodes_at_scaling_) return std::nullopt;
    const double nodes = nodes_;
    nodes_ = nodes_at_scaling_;
    return Rescale(nodes);
  }

 private:
  static constexpr double kMaxNodes = 1e6;          // a share is no less than one part of so many
  static constexpr double kScalingThreshold = 1.2;  // a share that falls by this factor scales the limits

  double Rescale(double nodes) {
    const double before = nodes_;
    nodes_ = std::clamp(nodes, 1.0, kMaxNodes);
    nodes_at_scaling_ = nodes_;
    return before / nodes_;
  }

  double nodes_;
  double nodes_at_scaling_;
};

}  // namespace ryeglade::policy
