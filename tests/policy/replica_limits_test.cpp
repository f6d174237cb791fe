#include "policy/replica_limits.h"

#include <gtest/gtest.h>

#include "replica_limits_fixture.h"

namespace ryeglade::policy {
namespace {

class ReplicaLimitsTest : public ReplicaLimitsFixture {
 protected:
  void List(ReplicaId count) { ListReplicas(1, count, 1, 0); }
};

TEST_F(ReplicaLimitsTest, AReplicaOfOrdinarySpeedHasTheBaseLimit) {
  List(3);
  limits_.Update(1);
  EXPECT_DOUBLE_EQ(fleet_.Find(2)->concurrency_limit, concurrency_.base_limit());
  EXPECT_DOUBLE_EQ(limits_.total(), 3 * concurrency_.base_limit());
}

TEST_F(ReplicaLimitsTest, EjectedAndDrainingReplicasHaveALimitOfZero) {
  List(5);
  fleet_.Find(1)->ejected_until = 100;
  fleet_.Find(2)->ready = false;
  limits_.Update(1);
  EXPECT_EQ(fleet_.Find(1)->concurrency_limit, 0);
  EXPECT_FALSE(limits_.HasCapacity(*fleet_.Find(1), 1));
  EXPECT_EQ(fleet_.Find(2)->concurrency_limit, 0);
  EXPECT_DOUBLE_EQ(limits_.total(), 3 * concurrency_.base_limit());
}

TEST_F(ReplicaLimitsTest, ASingleNodeHasCapacityUpToTheLimit) {
  List(1);
  limits_.Update(1);
  Replica& replica = *fleet_.Find(1);
  replica.in_flight = 15;
  EXPECT_TRUE(limits_.HasCapacity(replica, 1));
  replica.sibling_in_flight = 1;
  EXPECT_FALSE(limits_.HasCapacity(replica, 1));
}

TEST_F(ReplicaLimitsTest, AfterRepeatedFailuresAReplicaGetsOneAttemptAtATime) {
  List(1);
  limits_.Update(1);
  Replica& replica = *fleet_.Find(1);
  replica.consecutive_failures = 2;
  EXPECT_TRUE(limits_.HasCapacity(replica, 1));
  replica.in_flight = 1;
  EXPECT_FALSE(limits_.HasCapacity(replica, 1));
}

TEST_F(ReplicaLimitsTest, LimitsOfASampledFleetAreRecomputedAtIntervals) {
  List(100);
  limits_.Update(1'000);
  EXPECT_EQ(limits_.available().size(), 100u);
  fleet_.Find(1)->ready = false;
  limits_.InvalidateUnlessSampling();
  limits_.Update(1'999);
  EXPECT_GT(fleet_.Find(1)->concurrency_limit, 0);
  limits_.Update(2'000);
  EXPECT_EQ(fleet_.Find(1)->concurrency_limit, 0);
}

}  // namespace
}  // namespace ryeglade::policy
