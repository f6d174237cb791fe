#include "policy/capacity_backoff.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(CapacityBackoff, LowersTheLimitAndRecovers) {
  Replica replica;
  RecordAtCapacity(replica, 1'000'000, 2'000'000, 250'000);
  EXPECT_DOUBLE_EQ(CapacityFactor(replica, 1'000'000), 0.7);
  EXPECT_EQ(replica.at_capacity_until, 1'100'000);
  RecordAtCapacity(replica, 1'000'000, 2'000'000, 250'000);
  EXPECT_DOUBLE_EQ(CapacityFactor(replica, 1'000'000), 0.49);
  EXPECT_GT(CapacityFactor(replica, 31'000'000), 0.99);
  for (int i = 0; i < 20; ++i) RecordAtCapacity(replica, 1'000'000, 2'000'000, 250'000);
  EXPECT_DOUBLE_EQ(CapacityFactor(replica, 1'000'000), 0.1);
}

TEST(CapacityBackoff, ThePauseIsBounded) {
  Replica replica;
  RecordAtCapacity(replica, 0, 0, 250'000);
  EXPECT_EQ(replica.at_capacity_until, 25'000);
  RecordAtCapacity(replica, 0, 1e9, 250'000);
  EXPECT_EQ(replica.at_capacity_until, 500'000);
}

}  // namespace
}  // namespace ryeglade::policy
