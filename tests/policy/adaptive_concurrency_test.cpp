#include "policy/adaptive_concurrency.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

constexpr double kObjective = 1'000'000;

class AdaptiveConcurrencyTest : public testing::Test {
 protected:
  AdaptiveConcurrencyTest() {
    settings_.classes.resize(1);
    concurrency_.ResizeTables();
  }
  LimitUsage FullyUsed(Time now) const { return {now, 100, 100, 50'000}; }
  void LearnLateFirstTokens(Time now, int count) {
    for (int i = 0; i < count; ++i)
      concurrency_.LearnTimeToFirstToken(0.9 * kObjective, kObjective, FullyUsed(now));
  }
  Settings settings_;
  TrafficShare traffic_share_{1};
  AdaptiveConcurrency concurrency_{settings_, traffic_share_};
};

TEST_F(AdaptiveConcurrencyTest, RisesWhileLimitsAreUsedAndFirstTokensAreEarly) {
  const double before = concurrency_.base_limit();
  EXPECT_TRUE(concurrency_.LearnTimeToFirstToken(0.1 * kObjective, kObjective, FullyUsed(1'000'000)));
  EXPECT_GT(concurrency_.base_limit(), before);
}

TEST_F(AdaptiveConcurrencyTest, DoesNotRiseWhileLimitsAreNotUsed) {
  const double before = concurrency_.base_limit();
  EXPECT_FALSE(
      concurrency_.LearnTimeToFirstToken(0.1 * kObjective, kObjective, {1'000'000, 10, 100, 50'000}));
  EXPECT_EQ(concurrency_.base_limit(), before);
}

TEST_F(AdaptiveConcurrencyTest, FallsAtMostOncePerMeanRuntimeWhenManyFirstTokensAreLate) {
  const double before = concurrency_.base_limit();
  LearnLateFirstTokens(1'000'000, 100);
  const double fallen = concurrency_.base_limit();
  EXPECT_LT(fallen, before);
  EXPECT_GE(fallen, 0.8 * before);
  LearnLateFirstTokens(1'050'000, 1);
  EXPECT_EQ(concurrency_.base_limit(), fallen);
  LearnLateFirstTokens(1'050'001, 1);
  EXPECT_LT(concurrency_.base_limit(), fallen);
}

TEST_F(AdaptiveConcurrencyTest, StaysWithinItsBounds) {
  for (Time now = 1; now < 1'000; ++now) LearnLateFirstTokens(now * 1'000'000, 1);
  EXPECT_EQ(concurrency_.base_limit(), 2);
  for (int i = 0; i < 100'000; ++i)
    concurrency_.LearnTimeToFirstToken(0.1 * kObjective, kObjective, FullyUsed(2'000'000'000));
  EXPECT_EQ(concurrency_.base_limit(), 256);
}

TEST_F(AdaptiveConcurrencyTest, FallsWhenStreamsSlowDownThoughFirstTokensAreInTime) {
  Request request;
  request.response_started = true;
  Time now = 1'000'000;
  const auto serve = [&](Time runtime, int count) {
    for (int i = 0; i < count; ++i) {
      now += 100'000;
      concurrency_.LearnTimeToFirstToken(0.4 * kObjective, kObjective, {now, 0, 100, 50'000});
      concurrency_.LearnPace(request, runtime, {now, 0, 100, 50'000});
    }
  };
  serve(100'000, 50);
  const double before = concurrency_.base_limit();
  serve(1'000'000, 60);
  EXPECT_LT(concurrency_.base_limit(), before);
}

TEST_F(AdaptiveConcurrencyTest, ExportsLimitsForAWholeNumberOfNodes) {
  LearnedState state;
  concurrency_.ExportTo(state);
  EXPECT_EQ(state.node_count, 1);
  TrafficShare one_of_four(4);
  AdaptiveConcurrency next(settings_, one_of_four);
  next.RestoreFrom(state);
  EXPECT_EQ(next.base_limit(), concurrency_.base_limit() / 4);
}

}  // namespace
}  // namespace ryeglade::policy
