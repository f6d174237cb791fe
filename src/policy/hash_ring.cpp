#include "hash_ring.h"

#include <algorithm>

#include "hashing.h"

namespace ryeglade::policy {

void HashRing::RebuildIfInvalid(const Fleet& fleet) {
  if (valid_) return;
  valid_ = true;
  points_.clear();
  for (const auto& replica : fleet.replicas()) {
    if (!replica->ready) continue;
    const std::uint64_t replica_hash = Mix64(replica->endpoint.id);
    for (std::uint64_t point = 0; point < kPointsPerReplica; ++point) {
      points_.emplace_back(Mix64(replica_hash + point), replica.get());
    }
  }
  std::sort(points_.begin(), points_.end(), [](const auto& a, const auto& b) {
    return std::pair(a.first, a.second->endpoint.id) < std::pair(b.first, b.second->endpoint.id);
  });
}

std::size_t HashRing::Locate(std::uint64_t key) const {
  const auto first =
      std::lower_bound(points_.begin(), points_.end(), Mix64(key),
                       [](const auto& point, std::uint64_t position) { return point.first < position; });
  return static_cast<std::size_t>(first - points_.begin());
}

}  // namespace ryeglade::policy
