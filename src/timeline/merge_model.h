// Merges several nodes' records into one timeline for each replica. Clocks differ: each generation of the
// endpoint list reaches all nodes at about the same time, so the median of the differences between the times
// at which two nodes received the same generations is the difference of their clocks (the rest is how late
// discovery is). No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

struct MergedNode {
  std::string name;
  Time offset = 0;                     // added to its times
  std::size_t common_generations = 0;  // generations that it rests on; 0: its clock is taken as it is
  Time offset_spread = 0;              // median absolute deviation of the differences
};

struct Disagreement {  // two nodes said different things of a replica for longer than a list takes to arrive
  std::string replica;
  Time from = 0, to = 0;
  std::string what;
};

class TimelineMerge {
 public:
  static constexpr Time kMaxListDelay = 2'000'000;

  // In the order given; the first node's clock is the one that counts. Each must be closed.
  explicit TimelineMerge(const std::vector<ReplicaTimelines>& nodes);

  const ReplicaTimelines& timelines() const { return merged_; }
  const std::vector<MergedNode>& nodes() const { return nodes_; }
  const std::vector<Disagreement>& disagreements() const { return disagreements_; }

 private:
  // One replica as several nodes know it: the node's index, and its timeline.
  using Parts = std::vector<std::pair<std::size_t, const ReplicaTimeline*>>;
  using ReplicaIds = std::map<policy::ReplicaId, policy::ReplicaId>;  // a node's number to the merged one

  static MergedNode ClockOf(const ReplicaTimelines& node, const ReplicaTimelines& reference);
  bool SetBounds(const std::vector<ReplicaTimelines>& nodes);
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
