#include "policy/replica_selector.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "replica_limits_fixture.h"

namespace ryeglade::policy {
namespace {

class ReplicaSelectorTest : public ReplicaLimitsFixture {
 protected:
  ReplicaSelectorTest() {
    settings_.classes.resize(1);
    settings_.max_attempts = 3;
    request_.arrival.prompt_tokens = 1'000;
  }
  void List(ReplicaId count, int zones = 1) {
    ListReplicas(0, count, zones, now_);
    selector_.OnFleetChanged();
    limits_.Update(now_);
  }
  std::set<ReplicaId> Chosen(int times) {
    std::set<ReplicaId> chosen;
    for (int i = 0; i < times; ++i) {
      const Replica* replica = selector_.Select(request_, now_);
      if (replica != nullptr) chosen.insert(replica->endpoint.id);
    }
    return chosen;
  }
  PrefixAffinity affinity_{settings_};
  RetryPolicy retry_policy_{settings_};
  ReplicaSelector selector_{
      {settings_, fleet_, traffic_share_, limits_, speed_, load_reports_, affinity_, retry_policy_, random_}};
  Request request_;
  Time now_ = 1'000'000;
};

TEST_F(ReplicaSelectorTest, SelectsNoneWithoutReplicasOrCapacity) {
  EXPECT_EQ(selector_.Select(request_, now_), nullptr);
  List(1);
  fleet_.Find(0)->in_flight = 1'000;
  EXPECT_EQ(selector_.Select(request_, now_), nullptr);
}

TEST_F(ReplicaSelectorTest, EqualReplicasAreDrawnAtRandom) {
  List(4);
  EXPECT_EQ(Chosen(200).size(), 4u);
}

TEST_F(ReplicaSelectorTest, PrefersTheReplicaWithTheCachedPrompt) {
  List(4);
  request_.arrival.session = 7;
  affinity_.RecordDispatch(request_.arrival, 2, now_);
  EXPECT_EQ(Chosen(50), std::set<ReplicaId>{2});
  EXPECT_EQ(selector_.TokensToPrefill(request_, *fleet_.Find(2), now_), 0);
}

TEST_F(ReplicaSelectorTest, AvoidsReplicasThatHaveAlreadyFailedTheRequest) {
  List(2);
  request_.attempts.resize(1);
  request_.attempts[0].replica = 0;
  EXPECT_EQ(Chosen(50), std::set<ReplicaId>{1});
}

TEST_F(ReplicaSelectorTest, StaysInItsZoneWhereCrossingIsPenalized) {
  settings_.cross_zone_penalty = 0.08;
  settings_.zone = 1;
  List(4, 2);
  EXPECT_EQ(Chosen(100), (std::set<ReplicaId>{1, 3}));
}

TEST_F(ReplicaSelectorTest, ASharedPrefixHasOnePreferredReplicaWhileCold) {
  List(8);
  request_.arrival.prefix = 7;
  request_.arrival.prefix_tokens = 900;
  EXPECT_EQ(Chosen(50).size(), 1u);
}

TEST_F(ReplicaSelectorTest, ASampledFleetAlsoUsesThePreferredReplica) {
  List(200);
  request_.arrival.prefix = 7;
  request_.arrival.prefix_tokens = 900;
  EXPECT_EQ(Chosen(50).size(), 1u);
  EXPECT_LE(selector_.Describe(request_, *fleet_.Find(0), now_).candidates, 25);
}

TEST_F(ReplicaSelectorTest, DescribesTheChoice) {
  List(3);
  fleet_.Find(0)->in_flight = 1'000;
  const Replica* chosen = selector_.Select(request_, now_);
  ASSERT_NE(chosen, nullptr);
  const DispatchRecord record = selector_.Describe(request_, *chosen, now_);
  EXPECT_EQ(record.candidates, 3);
  EXPECT_EQ(record.candidates_with_capacity, 2);
  EXPECT_EQ(record.replica, chosen->endpoint.id);
  EXPECT_EQ(record.runner_up, 3 - chosen->endpoint.id);
  EXPECT_GT(record.score, 0);
}

}  // namespace
}  // namespace ryeglade::policy
