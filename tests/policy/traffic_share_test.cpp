#include "policy/traffic_share.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(TrafficShare, ScalesLimitsWithTheNumberOfNodes) {
  TrafficShare share(2);
  EXPECT_EQ(share.ScaleNodeCount(2, 4), 0.5);
  EXPECT_EQ(share.equivalent_nodes(), 4);
  EXPECT_EQ(share.ScaleNodeCount(4, 1), 4);
}

TEST(TrafficShare, OnlyALargeDecreaseScalesLimits) {
  TrafficShare share(4);
  EXPECT_FALSE(share.SetShare(0.5).has_value());
  EXPECT_EQ(share.equivalent_nodes(), 2);
  EXPECT_FALSE(share.SetShare(1 / 2.3).has_value());
  const auto factor = share.SetShare(0.25);  // the limits were for 2 equivalent nodes, now there are 4
  ASSERT_TRUE(factor.has_value());
  EXPECT_EQ(*factor, 0.5);
  EXPECT_EQ(share.equivalent_nodes(), 4);
}

TEST(TrafficShare, IgnoresInvalidShares) {
  TrafficShare share(4);
  for (const double invalid : {0.0, -1.0, 1.5}) EXPECT_FALSE(share.SetShare(invalid).has_value());
  EXPECT_EQ(share.equivalent_nodes(), 4);
}

}  // namespace
}  // namespace ryeglade::policy
