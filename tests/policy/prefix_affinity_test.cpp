#include "policy/prefix_affinity.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

RequestArrived Prompt(std::uint64_t session, std::uint64_t prefix) {
  RequestArrived request;
  request.session = session;
  request.prefix = prefix;
  request.prompt_tokens = 1'000;
  request.prefix_tokens = 400;
  return request;
}

class PrefixAffinityTest : public testing::Test {
 protected:
  PrefixAffinityTest() { replica_.endpoint.id = 3; }
  double ToPrefill(const RequestArrived& request, const Affinity& affinity = {}) const {
    return affinity_.TokensToPrefill(request, replica_, affinity, now_);
  }
  Settings settings_;
  PrefixAffinity affinity_{settings_};
  Replica replica_;
  Time now_ = 100'000'000;
};

TEST_F(PrefixAffinityTest, ADispatchedPromptIsCachedForItsLifetime) {
  EXPECT_EQ(ToPrefill(Prompt(1, 2)), 1'000);
  affinity_.RecordDispatch(Prompt(1, 2), 3, now_);
  EXPECT_EQ(ToPrefill(Prompt(1, 2)), 0);    // the same session
  EXPECT_EQ(ToPrefill(Prompt(9, 2)), 600);  // another session with the same prefix
  EXPECT_EQ(ToPrefill(Prompt(9, 8)), 1'000);
  now_ += 30'000'001;
  EXPECT_EQ(ToPrefill(Prompt(1, 2)), 1'000);
}

TEST_F(PrefixAffinityTest, ARestartEmptiesTheCache) {
  affinity_.RecordDispatch(Prompt(1, 2), 3, now_);
  replica_.endpoint.started_at = now_ + 1;
  EXPECT_EQ(ToPrefill(Prompt(1, 2)), 1'000);
}

TEST_F(PrefixAffinityTest, PreferredReplicasAreExpectedToHaveCachedAPart) {
  EXPECT_DOUBLE_EQ(ToPrefill(Prompt(1, 2), {true, false, false}), 720);
  EXPECT_DOUBLE_EQ(ToPrefill(Prompt(1, 2), {true, true, false}), 500);
}

TEST_F(PrefixAffinityTest, PreferredCountIsAPowerOfTwoThatGrowsWithTraffic) {
  EXPECT_EQ(PrefixAffinity::PreferredCount(0, 10, 10), 1u);
  EXPECT_EQ(PrefixAffinity::PreferredCount(0.1, 10, 10), 4u);
  EXPECT_EQ(PrefixAffinity::PreferredCount(1, 10, 10), 10u);
  EXPECT_FALSE(PrefixAffinity::IsHot(0.02, 10));
  EXPECT_TRUE(PrefixAffinity::IsHot(0.03, 10));
}

TEST_F(PrefixAffinityTest, AKeySeenOnceIsColdInASmallTierOnly) {
  affinity_.CountArrival(Prompt(1, 2), now_);
  EXPECT_EQ(affinity_.TrafficShareOf(2, now_), 0);
  settings_.node_count = 9;
  EXPECT_DOUBLE_EQ(affinity_.TrafficShareOf(2, now_), 1.0 / 9);
}

TEST_F(PrefixAffinityTest, TrafficSharesAreCountedUnlessSetForTheTier) {
  for (int i = 0; i < 100; ++i) affinity_.CountArrival(Prompt(0, i % 2 == 0 ? 2 : 7), now_);
  EXPECT_NEAR(affinity_.TrafficShareOf(2, now_), 0.49, 0.01);
  EXPECT_NEAR(affinity_.RecentTrafficShareOf(2, now_), 0.36, 0.01);
  affinity_.SetTierTraffic({{2, 0.1}});
  EXPECT_EQ(affinity_.TrafficShareOf(2, now_), 0.1);
  EXPECT_EQ(affinity_.RecentTrafficShareOf(2, now_), 0.1);
  affinity_.SetTierTraffic({});
  EXPECT_NEAR(affinity_.TrafficShareOf(2, now_), 0.49, 0.01);
}

}  // namespace
}  // namespace ryeglade::policy
