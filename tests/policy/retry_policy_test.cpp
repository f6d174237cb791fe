#include "policy/retry_policy.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

class RetryPolicyTest : public testing::Test {
 protected:
  RetryPolicyTest() {
    settings_.classes.resize(1);
    settings_.max_attempts = 3;
  }
  ClassSettings& Class() { return settings_.classes[0]; }
  static Request WithAttempt(bool may_have_run, int zone = 0, Time sent_at = 0) {
    Request request;
    Attempt attempt;
    attempt.may_have_run = may_have_run;
    attempt.zone = zone;
    attempt.sent_at = sent_at;
    attempt.in_flight = false;
    request.attempts.push_back(attempt);
    return request;
  }
  static Replica InZone(int zone) {
    Replica replica;
    replica.endpoint.zone = zone;
    return replica;
  }
  Settings settings_;
  RetryPolicy policy_{settings_};
};

TEST_F(RetryPolicyTest, BoundsAttempts) {
  Request request;
  request.attempts.resize(2);
  EXPECT_TRUE(policy_.MaySend(request, 0));
  request.attempts.resize(3);
  EXPECT_FALSE(policy_.MaySend(request, 0));
}

TEST_F(RetryPolicyTest, HedgesOnlyWhereAllowed) {
  Request request = WithAttempt(true);
  request.attempts_in_flight = 1;
  EXPECT_FALSE(policy_.MaySend(request, 0));
  settings_.can_hedge = true;
  EXPECT_TRUE(policy_.MaySend(request, 0));
}

TEST_F(RetryPolicyTest, ARequestThatIsNotIdempotentIsRepeatedOnlyIfItNeverRan) {
  Class().idempotency = Idempotency::kNotIdempotent;
  EXPECT_FALSE(policy_.MaySend(WithAttempt(true), 0));
  EXPECT_FALSE(policy_.MayReject(WithAttempt(true)));
  EXPECT_TRUE(policy_.MaySend(WithAttempt(false), 0));
  EXPECT_TRUE(policy_.MayReject(WithAttempt(false)));
}

TEST_F(RetryPolicyTest, AnIdempotencyKeyHoldsWithinItsWindow) {
  Class().idempotency = Idempotency::kIdempotencyKey;
  Class().dedup_window = 1'000'000;
  const Request request = WithAttempt(true);
  EXPECT_TRUE(policy_.MaySend(request, 839'999));
  EXPECT_FALSE(policy_.MaySend(request, 840'000));
  EXPECT_EQ(policy_.WriteWithin(request, 800'000), 40'000);
  EXPECT_EQ(policy_.WriteWithin(WithAttempt(false), 800'000), 0);
}

TEST_F(RetryPolicyTest, AnIdempotencyKeyHoldsWithinItsScope) {
  Class().idempotency = Idempotency::kIdempotencyKey;
  Class().dedup_window = 1'000'000;
  Class().dedup_scope = DedupScope::kZone;
  EXPECT_TRUE(policy_.MaySendTo(WithAttempt(true, 1), InZone(1), 0));
  EXPECT_FALSE(policy_.MaySendTo(WithAttempt(true, 1), InZone(2), 0));
  EXPECT_FALSE(policy_.MaySendTo(WithAttempt(true, -1), InZone(-1), 0));  // unknown zones may differ
  EXPECT_TRUE(policy_.MaySendTo(WithAttempt(false, 1), InZone(2), 0));
  EXPECT_FALSE(policy_.MayReject(WithAttempt(true, 1)));
  Class().dedup_scope = DedupScope::kAll;
  EXPECT_TRUE(policy_.MaySendTo(WithAttempt(true, 1), InZone(2), 0));
  EXPECT_TRUE(policy_.MayReject(WithAttempt(true, 1)));
}

TEST(RetryPolicy, OnlySomeOutcomesProveThatARequestDidNotRun) {
  for (const Outcome o : {Outcome::kAtCapacity, Outcome::kConnectFailed, Outcome::kNotSent})
    EXPECT_TRUE(ProvesNotRun(o));
  for (const Outcome o :
       {Outcome::kServed, Outcome::kError, Outcome::kTimeout, Outcome::kReset, Outcome::kCancelled})
    EXPECT_FALSE(ProvesNotRun(o));
}

TEST(RetryBudget, IsAShareOfRequestsUpToABound) {
  RetryBudget budget;
  for (int i = 0; i < 5; ++i) {
    ASSERT_TRUE(budget.HasRetry());
    budget.SpendRetry();
  }
  EXPECT_FALSE(budget.HasRetry());
  for (int i = 0; i < 4; ++i) budget.AddRequest();
  EXPECT_TRUE(budget.HasRetry());
  for (int i = 0; i < 1000; ++i) budget.AddRequest();
  int saved = 0;
  for (; budget.HasRetry(); ++saved) budget.SpendRetry();
  EXPECT_EQ(saved, 10);
}

}  // namespace
}  // namespace ryeglade::policy
