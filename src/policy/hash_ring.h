// Consistent hashing for large fleets: each replica has several points on a ring, at the same positions at
// every node, and a key's preferred replicas are those whose points follow the key's own position. Few keys
// move to another replica when a replica is added or removed.
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

  // Must be called when the replicas have changed, because the ring holds pointers to them. The ring must
  // then be rebuilt before it is used.
  void Invalidate() { valid_ = false; }
  // Rebuilds the ring from the ready replicas if it has been invalidated.
  void RebuildIfInvalid(const Fleet& fleet);

  // The number of points.
  std::size_t size() const { return points_.size(); }
  // Returns the index of the first point at or after the key's position, or size() if there is none, in which
  // case the next point is the first of the ring.
  std::size_t Locate(std::uint64_t key) const;
  // Returns the replica of a point. Indices from size() on wrap around. The ring must not be empty.
  Replica& ReplicaAt(std::size_t index) const { return *points_[index % points_.size()].second; }

 private:
  std::vector<std::pair<std::uint64_t, Replica*>> points_;  // sorted by position, then by replica id
  bool valid_ = false;
};

}  // namespace ryeglade::policy
