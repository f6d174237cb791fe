#include "policy/queue_order.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(QueueOrder, AShorterRequestOvertakesAnEarlierOneWithinTheAgingFactor) {
  const QueuedRequest long_one{0, 10'000'000, 200'000, 200'000};
  const Time bound = static_cast<Time>(kAgingFactor * 100'000);
  EXPECT_LT(QueueKey({bound - 1, 10'000'000, 100'000, 100'000}), QueueKey(long_one));
  EXPECT_GT(QueueKey({bound + 1, 10'000'000, 100'000, 100'000}), QueueKey(long_one));
}

TEST(QueueOrder, AnObjectiveInThePastAddsNoDelay) {
  EXPECT_EQ(QueueKey({0, -5'000'000, 900'000, 100'000}), QueueKey({0, 0, 900'000, 100'000}));
}

TEST(QueueOrder, TheTierTakesPrecedenceOverTheKey) {
  const QueuePosition ordinary{PriorityTier::kOrdinary, 9, 2, 1};
  const QueuePosition over_quota{PriorityTier::kOverQuota, 1, 1, 2};
  EXPECT_LT(ordinary, over_quota);
}

}  // namespace
}  // namespace ryeglade::policy
