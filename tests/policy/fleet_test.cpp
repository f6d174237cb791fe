#include "policy/fleet.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

Endpoint Ready(ReplicaId id, Time started_at = 0) {
  Endpoint endpoint;
  endpoint.id = id;
  endpoint.started_at = started_at;
  return endpoint;
}

EndpointList Full(std::vector<Endpoint> endpoints) {
  return {EndpointListScope::kFull, 1, std::move(endpoints)};
}

TEST(Fleet, AReplicaNoLongerListedStaysUntilItsLastAttemptEnds) {
  Fleet fleet;
  RandomSource random(1);
  fleet.Apply(Full({Ready(1), Ready(2)}), 0, random);
  fleet.AttemptSent(*fleet.Find(1));
  fleet.Apply(Full({Ready(2)}), 10, random);
  Replica* gone = fleet.Find(1);
  ASSERT_NE(gone, nullptr);
  EXPECT_FALSE(gone->ready);
  fleet.AttemptEnded(gone);
  fleet.RemoveIfUnlisted(*gone);
  EXPECT_EQ(fleet.Find(1), nullptr);
  EXPECT_EQ(fleet.in_flight(), 0);
}

TEST(Fleet, ADeltaKeepsTheOtherReplicas) {
  Fleet fleet;
  RandomSource random(1);
  fleet.Apply(Full({Ready(1), Ready(2)}), 0, random);
  Endpoint removed = Ready(2);
  removed.state = EndpointState::kRemoved;
  fleet.Apply({EndpointListScope::kDelta, 2, {removed, Ready(3)}}, 10, random);
  EXPECT_NE(fleet.Find(1), nullptr);
  EXPECT_EQ(fleet.Find(2), nullptr);
  EXPECT_NE(fleet.Find(3), nullptr);
}

TEST(Fleet, ARestartResetsAllButAttemptsInFlight) {
  Fleet fleet;
  RandomSource random(1);
  fleet.Apply(Full({Ready(1, 100)}), 0, random);
  Replica& replica = *fleet.Find(1);
  replica.slowness = 2;
  replica.consecutive_failures = 3;
  fleet.AttemptSent(replica);
  fleet.SetSiblingInFlight({{1, 4}});
  EXPECT_EQ(fleet.in_flight(), 5);
  fleet.Apply(Full({Ready(1, 200)}), 10, random);
  EXPECT_EQ(replica.slowness, 0);
  EXPECT_EQ(replica.consecutive_failures, 0);
  EXPECT_EQ(replica.in_flight, 1);
  EXPECT_EQ(fleet.in_flight(), 1);
}

TEST(Fleet, SiblingCountsNeverGoBelowZeroAndReplaceTheEarlierOnes) {
  Fleet fleet;
  RandomSource random(1);
  fleet.Apply(Full({Ready(1), Ready(2)}), 0, random);
  fleet.SetSiblingInFlight({{1, -3}, {2, 2}, {9, 5}});
  EXPECT_EQ(fleet.in_flight(), 2);
  fleet.SetSiblingInFlight({{1, 1}});
  EXPECT_EQ(fleet.in_flight(), 1);
  EXPECT_EQ(fleet.Find(2)->sibling_in_flight, 0);
}

}  // namespace
}  // namespace ryeglade::policy
