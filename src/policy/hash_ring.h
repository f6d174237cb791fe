// Consistent hashing for large fleets: each replica has some points on a ring, at the same places at every
// node, and a key's preferred replicas are those whose points come next behind the key's own place. Few keys
// move when a replica comes or goes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

#include "fleet.h"

namespace ryeglade::policy {

class HashRing {
 public:
  static constexpr int kPointsPerReplica = 8;

  // The replicas have changed: pointers of the ring are used no more until it is rebuilt.
  void Invalidate() { valid_ = false; }
  // From the ready replicas, if it has been invalidated.
  void RebuildIfInvalid(const Fleet& fleet);

  // In points.
  std::size_t size() const { return points_.size(); }
  // The first point at or behind the key's place; size() if there is none before the ring closes.
  std::size_t Locate(std::uint64_t key) const;
  // The replica of a point; indices go round the ring. The ring is not empty.
  Replica& ReplicaAt(std::size_t index) const { return *points_[index % points_.size()].second; }

 private:
  std::vector<std::pair<std::uint64_t, Replica*>> points_;  // by place, then replica
  bool valid_ = false;
};

}  // namespace ryeglade::policy
