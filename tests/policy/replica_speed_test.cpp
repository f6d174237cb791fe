#include "policy/replica_speed.h"

#include <gtest/gtest.h>

#include <cmath>

namespace ryeglade::policy {
namespace {

class ReplicaSpeedTest : public testing::Test {
 protected:
  ReplicaSpeedTest() { settings_.replica_kind_count = 2; }
  void Answer(Replica& replica, double log_ratio, int times) {
    speed_.ResizeTables();
    for (int i = 0; i < times; ++i) speed_.Learn(replica, log_ratio, now_, false);
  }
  Settings settings_;
  ReplicaSpeed speed_{settings_};
  Time now_ = 1'000'000;
};

TEST_F(ReplicaSpeedTest, OwnAnswersAreCombinedWithThePriorAndDecay) {
  Replica replica;
  EXPECT_EQ(speed_.Slowness(replica, now_), 0);
  Answer(replica, 1.0, 40);
  const double fresh = speed_.Slowness(replica, now_);
  EXPECT_GT(fresh, 0.8);
  replica.endpoint.kind = 1;  // a kind without any answers
  EXPECT_LT(speed_.Slowness(replica, now_ + 60'000'000), 0.1);
}

TEST_F(ReplicaSpeedTest, AnUnknownReplicaIsTakenToBeLikeItsKind) {
  Replica known, other_of_kind, of_other_kind;
  of_other_kind.endpoint.kind = 1;
  Answer(known, 1.0, 100);
  EXPECT_GT(speed_.Slowness(other_of_kind, now_), 0.8);
  EXPECT_EQ(speed_.Slowness(of_other_kind, now_), 0);
}

TEST_F(ReplicaSpeedTest, OneAnswerIsBounded) {
  Replica replica;
  Answer(replica, 50, 1);
  EXPECT_EQ(replica.slowness, ReplicaSpeed::kMaxSlowness);
}

TEST_F(ReplicaSpeedTest, ZonesCountInALargeTierOnly) {
  Replica known, same_zone;
  same_zone.endpoint.kind = 1;
  Answer(known, 1.0, 100);
  EXPECT_EQ(speed_.Slowness(same_zone, now_), 0);
  settings_.node_count = 9;
  EXPECT_GT(speed_.Slowness(same_zone, now_), 0.5);
}

TEST_F(ReplicaSpeedTest, PeersCountLikeOwnAnswers) {
  Replica replica;
  replica.peer_report.slowness = 1;
  replica.peer_report.slowness_samples = ReplicaSpeed::kPriorWeight;
  replica.peer_report_at = now_;
  EXPECT_DOUBLE_EQ(speed_.Slowness(replica, now_), 0.5);
}

TEST(ReplicaSpeed, ASlowReplicaGetsLessThanInProportionToItsSpeed) {
  EXPECT_EQ(ReplicaSpeed::LoadFactor(0), 1);
  EXPECT_LT(ReplicaSpeed::LoadFactor(std::log(2.0)), 0.5);
}

}  // namespace
}  // namespace ryeglade::policy
