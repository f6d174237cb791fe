// What the nodes' membership says of the cluster, as a rollout's driver uses it: which nodes must not be
// changed now, which count as dead, and whether the view can be trusted at all. Read from nodes' status
// addresses (`GET /nodes`), any of which may be dead, partitioned or wrong. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ryeglade::rollout {

inline constexpr std::size_t kMaxStatusBytes = std::size_t{4} << 20;
inline constexpr std::size_t kMaxMembers = 10'000;

// One node's view of the cluster.
struct NodeClusterView {
  std::string node;
  bool joined = false, in_doubt = true, settled = false;
  // Of the other members, by name: "alive", "suspect", "dead", "leaving", "left" (`standing` in JSON).
  std::map<std::string, std::string> member_states;
};
// Null: not the body of a status address, or larger than the bounds above.
std::optional<NodeClusterView> DecodeNodeClusterView(const std::string& body);

// All nodes' views merged by majority: of the views that name a member and are confident, more than half
// decide its state. That a node answers counts as a vote that it is alive.
struct ClusterView {
  std::size_t polled = 0;     // status addresses asked
  std::size_t answers = 0;    // different nodes that answered
  std::size_t confident = 0;  // of these, joined and not in doubt
  std::set<std::string> suspect;
  std::set<std::string> dead;   // leaving and left members count as dead
  std::set<std::string> known;  // all members that were named
  // More than half of the polled addresses are confident: a node that is absent from the view is absent.
  bool trusted() const { return 2 * confident > polled; }
};
ClusterView MergeClusterViews(std::size_t polled, const std::vector<NodeClusterView>& views);

}  // namespace ryeglade::rollout
