// Joins the lanes of several nodes into one line per replica. Clocks differ: each generation of the list is
// told to all nodes at about the same time, so the median of the differences between the times at which two
// nodes were told the same generations is the difference of their clocks (the rest is how late discovery is).
// No I/O, no clock.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

struct MergedNode {
  std::string name;
  Time offset = 0;         // added to its times
  std::size_t common = 0;  // generations that it rests on; 0: its clock is taken as it is
  Time spread = 0;         // median absolute deviation of the differences
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
  void Join(ReplicaTimeline& into, const std::string& replica,
            const std::vector<std::pair<std::size_t, const ReplicaTimeline*>>& parts);

  ReplicaTimelines merged_;
  std::vector<MergedNode> nodes_;
  std::vector<Disagreement> disagreements_;
};

}  // namespace ryeglade::timeline
