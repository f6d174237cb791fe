#include "policy/slow_start.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

class SlowStartTest : public testing::Test {
 protected:
  SlowStartTest() {
    settings_.slow_start_window = 10'000'000;
    settings_.slow_start_min_share = 0.2;
    replica_.endpoint.started_at = 1'000'000;
    replica_.slow_start_updated_at = 1'000'000;
  }
  Settings settings_;
  SlowStart slow_start_{settings_};
  Replica replica_;
};

TEST_F(SlowStartTest, FractionRisesLinearlyFromTheMinimum) {
  EXPECT_DOUBLE_EQ(slow_start_.Fraction(replica_, 1'000'000), 0.2);
  EXPECT_DOUBLE_EQ(slow_start_.Fraction(replica_, 6'000'000), 0.6);
  EXPECT_EQ(slow_start_.Fraction(replica_, 11'000'000), 1);
  replica_.endpoint.started_at = 0;  // long ago
  EXPECT_EQ(slow_start_.Fraction(replica_, 1'000'000), 1);
}

TEST_F(SlowStartTest, ADispatchWhileWarmingUpCostsAToken) {
  EXPECT_FALSE(slow_start_.MayDispatch(replica_, 2'000'000));
  replica_.slow_start_tokens = 1;
  EXPECT_TRUE(slow_start_.MayDispatch(replica_, 2'000'000));
  slow_start_.RecordDispatch(replica_, 2'000'000);
  EXPECT_EQ(replica_.slow_start_tokens, 0);
  EXPECT_TRUE(slow_start_.MayDispatch(replica_, 20'000'000));  // it has warmed up
  slow_start_.RecordDispatch(replica_, 20'000'000);
  EXPECT_EQ(replica_.slow_start_tokens, 0);
}

TEST_F(SlowStartTest, TokensAreEarnedAtAPartOfTheRateUpToOne) {
  slow_start_.EarnTokens(replica_, 0.5, 1.0, 2'000'000);
  EXPECT_DOUBLE_EQ(replica_.slow_start_tokens, 0.4 * settings_.overload_factor * 0.5);
  slow_start_.EarnTokens(replica_, 0.5, 1.0, 100'000'000);
  EXPECT_EQ(replica_.slow_start_tokens, 1);
}

}  // namespace
}  // namespace ryeglade::policy
