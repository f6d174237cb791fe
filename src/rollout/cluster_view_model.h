// The cluster as the nodes' membership sees it, for a rollout's driver: which nodes must not be changed now,
// which count as dead, and whether the view can be trusted at all. Read from the nodes' status addresses
// (`GET /nodes`), any of which may be dead, partitioned or wrong. No I/O, no clock.
#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace ryeglade::rollout {

// Bounds of an answer of a status address.
inline constexpr std::size_t kMaxStatusBytes = std::size_t{4} << 20;
inline constexpr std::size_t kMaxMembers = 10'000;

// One node's view of the cluster.
struct NodeClusterView {
  std::string node;      // name of the node that has this view
  bool joined = false;   // it is a member of the cluster and its process is the active one
  bool in_doubt = true;  // members that it can't reach may be alive
  bool settled = false;  // its view is not changing
  // States of the other members by name: "alive", "suspect", "dead", "leaving" or "left". The key in JSON is
  // `standing`.
  std::map<std::string, std::string> member_states;
};
// Returns nullopt if this is not the body of a status address, or exceeds the bounds above.
std::optional<NodeClusterView> DecodeNodeClusterView(const std::string& body);

// The views of all nodes, merged by majority: a member is dead or suspect if more than half of the confident
// views that name it say so. A node that answers thereby votes that it is alive itself.
struct ClusterView {
  std::size_t polled = 0;         // status addresses that were asked
  std::size_t answers = 0;        // different nodes that answered
  std::size_t confident = 0;      // of these, nodes that have joined and are not in doubt
  std::set<std::string> suspect;  // names of members, here and below
  std::set<std::string> dead;     // leaving and left members count as dead
  std::set<std::string> known;    // all members that any view names
  // Whether more than half of the polled addresses are confident: only then does a node that is suspect or
  // dead in the view count as absent.
  bool trusted() const { return 2 * confident > polled; }
};
// `polled` is the number of status addresses that were asked; `views` are the valid answers.
ClusterView MergeClusterViews(std::size_t polled, const std::vector<NodeClusterView>& views);

}  // namespace ryeglade::rollout
