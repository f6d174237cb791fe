// Merges the records of several nodes into one timeline per replica. The clocks of nodes differ. Each
// generation of the endpoint list reaches all nodes at about the same time, so the offset between two clocks
// is estimated as the median difference of the times at which both nodes received the same generations; the
// remaining error is the variation of discovery's delay. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

// One of the merged nodes, and the estimated offset of its clock.
struct MergedNode {
  std::string name;
  Time offset = 0;  // is added to the times of this node
  // Number of generations of the endpoint list from which the offset is estimated. If it is 0, so is the
  // offset.
  std::size_t common_generations = 0;
  Time offset_spread = 0;  // median absolute deviation of the differences around `offset`
};

// Two nodes knew different states of a replica for longer than the delay of an endpoint list.
struct Disagreement {
  std::string replica;
  Time from = 0, to = 0;  // `to` is 0 while the disagreement lasts
  std::string what;       // the state at each node, as text
};

// The merged timelines, and the disagreements found in merging.
class TimelineMerge {
 public:
  static constexpr Time kMaxListDelay = 2'000'000;  // shorter disagreements are not reported

  // The clock of the first node is the reference. Each of the timelines must be closed.
  explicit TimelineMerge(const std::vector<ReplicaTimelines>& nodes);

  const ReplicaTimelines& timelines() const { return merged_; }
  const std::vector<MergedNode>& nodes() const { return nodes_; }
  const std::vector<Disagreement>& disagreements() const { return disagreements_; }

 private:
  // One replica as seen by several nodes: the index of the node, and the replica's timeline there.
  using Parts = std::vector<std::pair<std::size_t, const ReplicaTimeline*>>;
  using ReplicaIds = std::map<policy::ReplicaId, policy::ReplicaId>;  // from a node's id to the merged id

  static MergedNode ClockOf(const ReplicaTimelines& node, const ReplicaTimelines& reference);
  bool SetBounds(const std::vector<ReplicaTimelines>& nodes);
  // `i` is the index of the node.
  std::uint32_t MergedBin(const ReplicaTimelines& node, std::size_t i, std::uint32_t bin) const;
  Annotation Shifted(const Annotation& annotation, std::size_t i) const;
  void AddFleet(const ReplicaTimelines& node, std::size_t i);
  void AddReplica(const std::vector<ReplicaTimelines>& nodes, const Parts& parts,
                  std::vector<ReplicaIds>& ids);
  void AddBins(const ReplicaTimelines& node, std::size_t i, const ReplicaTimeline& part,
               ReplicaTimeline& into) const;
  void AddAnomalies(const ReplicaTimelines& node, std::size_t i, std::size_t node_count,
                    const ReplicaIds& ids);
  void MergeStates(ReplicaTimeline& into, const std::string& replica, const Parts& parts);

  ReplicaTimelines merged_;
  std::vector<MergedNode> nodes_;
  std::vector<Disagreement> disagreements_;
};

}  // namespace ryeglade::timeline
