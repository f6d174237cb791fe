#include "policy/candidate_finder.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <set>

#include "replica_limits_fixture.h"

namespace ryeglade::policy {
namespace {

class CandidateFinderTest : public ReplicaLimitsFixture {
 protected:
  void List(ReplicaId count, int zones = 1) {
    ListReplicas(0, count, zones, 0);
    limits_.Update(1);
    finder_.InvalidateRing();
  }
  std::vector<Candidate> Find(std::uint64_t prefix, double prefix_share, std::uint64_t session = 0,
                              double session_share = 0) {
    RequestArrived request;
    request.prefix = prefix;
    request.session = session;
    std::vector<Candidate> candidates;
    finder_.Find(request, prefix_share, session_share, 1, candidates);
    return candidates;
  }
  static std::set<ReplicaId> Preferred(const std::vector<Candidate>& candidates, bool Candidate::*preferred) {
    std::set<ReplicaId> ids;
    for (const Candidate& candidate : candidates) {
      if (candidate.*preferred) ids.insert(candidate.replica->endpoint.id);
    }
    return ids;
  }
  CandidateFinder finder_{{settings_, fleet_, limits_, speed_, load_reports_, random_}};
};

TEST_F(CandidateFinderTest, AllReplicasWithALimitAreCandidates) {
  List(10);
  fleet_.Find(3)->ready = false;
  limits_.Invalidate();
  limits_.Update(2);
  EXPECT_EQ(Find(0, 0).size(), 9u);
}

TEST_F(CandidateFinderTest, APrefixHasMorePreferredReplicasTheMoreTrafficItHas) {
  List(16);
  const auto cold = Preferred(Find(7, 0.01), &Candidate::prefix_preferred);
  const auto hot = Preferred(Find(7, 0.1), &Candidate::prefix_preferred);
  EXPECT_EQ(cold.size(), 1u);
  EXPECT_EQ(hot.size(), 8u);
  EXPECT_TRUE(std::includes(hot.begin(), hot.end(), cold.begin(), cold.end()));
}

TEST_F(CandidateFinderTest, ASessionPrefersOneOfItsPrefixsReplicas) {
  List(16);
  const auto candidates = Find(7, 0.1, 99, 0);
  const auto of_prefix = Preferred(candidates, &Candidate::prefix_preferred);
  const auto of_session = Preferred(candidates, &Candidate::session_preferred);
  ASSERT_EQ(of_session.size(), 1u);
  EXPECT_TRUE(of_prefix.contains(*of_session.begin()));
}

TEST_F(CandidateFinderTest, WithAZonePenaltyAPrefixHasPreferredReplicasInEachZone) {
  settings_.cross_zone_penalty = 0.1;
  List(16, 2);
  const auto candidates = Find(7, 0, 99, 0);
  std::set<int> zones;
  for (const ReplicaId id : Preferred(candidates, &Candidate::prefix_preferred)) {
    zones.insert(fleet_.Find(id)->endpoint.zone);
  }
  EXPECT_EQ(zones, (std::set<int>{0, 1}));
  const auto of_session = Preferred(candidates, &Candidate::session_preferred);
  ASSERT_EQ(of_session.size(), 1u);
  EXPECT_EQ(fleet_.Find(*of_session.begin())->endpoint.zone, settings_.zone);
}

TEST_F(CandidateFinderTest, ALargeFleetIsSampledWithoutRepeats) {
  List(300);
  const auto candidates = Find(7, 1.0);
  std::set<ReplicaId> ids;
  for (const Candidate& candidate : candidates) ids.insert(candidate.replica->endpoint.id);
  EXPECT_EQ(ids.size(), candidates.size());
  EXPECT_EQ(Preferred(candidates, &Candidate::prefix_preferred).size(), 32u);
  EXPECT_LE(candidates.size(), 56u);
  EXPECT_GT(candidates.size(), 32u);
}

}  // namespace
}  // namespace ryeglade::policy
