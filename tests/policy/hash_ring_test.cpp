#include "policy/hash_ring.h"

#include <gtest/gtest.h>

#include <map>

#include "policy/hashing.h"

namespace ryeglade::policy {
namespace {

class HashRingTest : public testing::Test {
 protected:
  void List(ReplicaId first, ReplicaId last) {
    EndpointList list;
    for (ReplicaId id = first; id <= last; ++id) {
      list.endpoints.emplace_back();
      list.endpoints.back().id = id;
    }
    fleet_.Apply(list, 0, random_);
    ring_.Invalidate();
    ring_.RebuildIfInvalid(fleet_);
  }
  ReplicaId First(std::uint64_t key) const { return ring_.ReplicaAt(ring_.Locate(key)).endpoint.id; }
  RandomSource random_{1};
  Fleet fleet_;
  HashRing ring_;
};

TEST_F(HashRingTest, HasPointsOfReadyReplicasOnly) {
  List(1, 10);
  EXPECT_EQ(ring_.size(), 10u * HashRing::kPointsPerReplica);
  fleet_.Find(3)->ready = false;
  ring_.RebuildIfInvalid(fleet_);
  EXPECT_EQ(ring_.size(), 10u * HashRing::kPointsPerReplica);  // not rebuilt, as it was not invalidated
  ring_.Invalidate();
  ring_.RebuildIfInvalid(fleet_);
  EXPECT_EQ(ring_.size(), 9u * HashRing::kPointsPerReplica);
}

TEST_F(HashRingTest, IndicesWrapAround) {
  List(1, 4);
  EXPECT_EQ(&ring_.ReplicaAt(0), &ring_.ReplicaAt(ring_.size()));
}

TEST_F(HashRingTest, OnlyTheKeysOfARemovedReplicaMove) {
  List(1, 100);
  std::map<std::uint64_t, ReplicaId> before;
  for (std::uint64_t key = 0; key < 2000; ++key) before[key] = First(key);
  List(1, 99);
  for (const auto& [key, replica] : before) {
    if (replica != 100) {
      EXPECT_EQ(First(key), replica);
    }
  }
}

}  // namespace
}  // namespace ryeglade::policy
