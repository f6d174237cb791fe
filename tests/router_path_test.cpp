// The ordinary path of requests: what is queued, in which order queued requests are dispatched, which replica
// is selected, and what is learned from outcomes.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <map>

#include "node.h"

namespace ryeglade::policy::test {
namespace {

// Serves `count` requests with prompts of `prompt` tokens, so that the estimate for such requests becomes
// `runtime`.
void ServeMany(Node& node, double prompt, Time runtime, int count = 30) {
  for (int i = 0; i < count; ++i) {
    const RequestId id = node.Arrive(6 * kSecond, prompt);
    ASSERT_FALSE(node.AttemptsOf(id).empty());
    node.Advance(10 * kMs);
    node.Serve(id, 0, runtime);
  }
}

// Lets requests arrive until the first one is queued. Returns those before it, which are in flight.
std::vector<RequestId> SendUntilQueued(Node& node, double prompt) {
  std::vector<RequestId> in_flight;
  while (node.router.queued_requests() == 0 && in_flight.size() < 1000)
    in_flight.push_back(node.Arrive(7 * kSecond, prompt));
  in_flight.pop_back();
  return in_flight;
}

TEST(Queueing, ShortestEstimateIsDispatchedFirst) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  ServeMany(node, 4000, 900 * kMs);
  ServeMany(node, 200, 100 * kMs);
  const auto in_flight = SendUntilQueued(node, 200);
  const RequestId first_queued = node.last_request;
  const RequestId large = node.Arrive(7 * kSecond, 4000);
  const RequestId small = node.Arrive(7 * kSecond, 200);
  EXPECT_EQ(node.router.queued_requests(), 3u);
  for (std::size_t i = 0; i < in_flight.size() && node.AttemptsOf(large).empty(); ++i)
    node.Serve(in_flight[i], 0, 100 * kMs);
  std::vector<RequestId> order;
  for (const SendAttempt& s : node.Actions<SendAttempt>()) order.push_back(s.id);
  ASSERT_GE(order.size(), 3u);
  EXPECT_EQ(std::vector<RequestId>(order.end() - 3, order.end()),
            (std::vector<RequestId>{first_queued, small, large}));
}

TEST(Queueing, ALongRequestThatHasWaitedOvertakesShortNewcomers) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  ServeMany(node, 4000, 200 * kMs);
  ServeMany(node, 200, 100 * kMs);
  const auto in_flight = SendUntilQueued(node, 200);
  const RequestId large = node.Arrive(7 * kSecond, 4000);
  node.Advance(800 * kMs);
  const RequestId small = node.Arrive(7 * kSecond, 200);
  for (std::size_t i = 0; i < 2 && node.AttemptsOf(large).empty(); ++i)
    node.Serve(in_flight[i], 0, 100 * kMs);
  EXPECT_EQ(node.AttemptsOf(large).size(), 1u);
  EXPECT_EQ(node.AttemptsOf(small).size(), 0u);
}

// Guards against serving every request late: a queue in which requests wait longer than their objective must
// not dispatch the oldest one first.
TEST(Queueing, RequestsThatMissTheirObjectiveWaitBehindThoseThatCanMeetIt) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const auto in_flight = SendUntilQueued(node, 1000);
  const RequestId stale = node.last_request;
  node.Advance(2 * kSecond);
  const RequestId fresh = node.Arrive(7 * kSecond);
  ASSERT_EQ(node.FinalResponses(stale) + node.AttemptsOf(stale).size(), 0u);
  for (std::size_t i = 0; i < in_flight.size() && node.AttemptsOf(stale).empty(); ++i)
    node.Serve(in_flight[i], 0, 300 * kMs);
  const auto sends = node.Actions<SendAttempt>();
  ASSERT_GE(sends.size(), 2u);
  EXPECT_EQ(sends[sends.size() - 2].id, fresh);
  EXPECT_EQ(sends[sends.size() - 1].id, stale);
}

// With many nodes, a node's limit for each replica is below one attempt. Guards against rounding each of them
// up to one, by which all nodes together would exceed the limits.
TEST(Queueing, LimitsBelowOneRequestAreBoundedByTheirSum) {
  Settings s = BasicSettings();
  s.node_count = 140;
  Node node(s);
  node.SetEndpoints(ReadyReplicas(100));
  int sent = 0;
  for (int i = 0; i < 100; ++i) sent += node.AttemptsOf(node.Arrive()).empty() ? 0 : 1;
  EXPECT_LE(sent, node.router.total_concurrency_limit() + 1);
  EXPECT_LT(sent, 50);
  EXPECT_GT(sent, 0);
}

TEST(ConcurrencyLimits, RiseWhileFirstTokensAreEarlyAndFallWhenTheyAreLate) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const auto round = [&](Time first_token, Time runtime) {
    std::vector<RequestId> ids;
    for (int i = 0; i < 40; ++i) ids.push_back(node.Arrive(7 * kSecond));
    for (const RequestId id : ids) {
      if (node.AttemptsOf(id).empty()) continue;
      node.Handle(ResponseStarted{id, 0, 1, first_token});
    }
    node.Advance(runtime);
    for (const RequestId id : ids) {
      if (!node.AttemptsOf(id).empty() && node.FinalResponses(id) == 0)
        node.EndAttempt(id, 0, Outcome::kServed, true, runtime);
    }
    node.Advance(8 * kSecond);
  };
  round(50 * kMs, 200 * kMs);
  const double start = node.router.total_concurrency_limit();
  for (int i = 0; i < 5; ++i) round(50 * kMs, 200 * kMs);
  const double high = node.router.total_concurrency_limit();
  EXPECT_GT(high, start);
  for (int i = 0; i < 5; ++i) round(3 * kSecond, 3200 * kMs);
  EXPECT_LT(node.router.total_concurrency_limit(), 0.8 * high);
}

TEST(ConcurrencyLimits, AtCapacityLowersThatReplicasLimit) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  const ReplicaId full = node.AttemptsOf(id)[0].replica;
  const double before = node.router.concurrency_limit(full);
  node.EndAttempt(id, 0, Outcome::kAtCapacity, false, 1 * kMs);
  node.SetEndpoints({}, EndpointListScope::kDelta);
  EXPECT_LT(node.router.concurrency_limit(full), before);
  ASSERT_EQ(node.AttemptsOf(id).size(), 2u);
  EXPECT_NE(node.AttemptsOf(id)[1].replica, full);
}

// Guards against limits that fall only when first tokens are late: overloaded replicas slow down their
// streams long before that.
TEST(ConcurrencyLimits, FallWhenStreamsSlowDownThoughFirstTokensAreInTime) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const auto stream = [&](Time runtime, int count) {
    for (int i = 0; i < count; ++i) {
      const RequestId id = node.Arrive(7 * kSecond);
      if (node.AttemptsOf(id).empty()) continue;
      node.Handle(ResponseStarted{id, 0, 1, runtime / 5});
      node.Advance(runtime);
      node.EndAttempt(id, 0, Outcome::kServed, true, runtime);
    }
  };
  stream(300 * kMs, 30);
  const double before = node.router.total_concurrency_limit();
  stream(3 * kSecond, 60);
  EXPECT_LT(node.router.total_concurrency_limit(), before);
}

// The first answers to end are the short ones, so the best pace looks better than it is. Guards against
// limits that fall for this reason although the first tokens arrive early.
TEST(ConcurrencyLimits, HoldWhenStreamsLookSlowButFirstTokensComeAtOnce) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const auto stream = [&](Time runtime, int count) {
    for (int i = 0; i < count; ++i) {
      const RequestId id = node.Arrive(7 * kSecond);
      node.Handle(ResponseStarted{id, 0, 1, 20 * kMs});
      node.Advance(runtime);
      node.EndAttempt(id, 0, Outcome::kServed, true, runtime);
    }
  };
  stream(200 * kMs, 30);
  const double before = node.router.total_concurrency_limit();
  stream(1 * kSecond, 60);
  // The replica's own slowness lowers its limit; adaptive concurrency must not lower it further.
  EXPECT_GT(node.router.total_concurrency_limit(), 0.9 * before * std::exp(-1.7));
}

TEST(ReplicaSelection, ErrorsNeverMakeAReplicaLookIdle) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2), Ready(3), Ready(4)});
  std::map<ReplicaId, int> sent;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = node.Arrive(6 * kSecond);
    node.Advance(50 * kMs);
    for (std::size_t a = 0; a < node.AttemptsOf(id).size(); ++a) {
      const ReplicaId to = node.AttemptsOf(id)[a].replica;
      ++sent[to];
      if (to == 1) {
        node.EndAttempt(id, static_cast<int>(a), Outcome::kError, false, 1 * kMs);
      } else {
        node.Serve(id, static_cast<int>(a), 300 * kMs);
        break;
      }
    }
  }
  EXPECT_LT(sent[1], sent[2] / 3);
}

TEST(ReplicaSelection, RequestsAreStillSentWhenEveryReplicaFails) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2), Ready(3)});
  for (int i = 0; i < 6; ++i) {
    const RequestId id = node.Arrive(2 * kSecond);
    for (std::size_t a = 0; a < node.AttemptsOf(id).size() && a < 4; ++a) {
      node.EndAttempt(id, static_cast<int>(a), Outcome::kReset, false, 1 * kMs);
    }
    node.Advance(10 * kMs);
  }
  EXPECT_EQ(node.AttemptsOf(node.Arrive()).size(), 1u);
}

TEST(ReplicaSelection, NodesAgreeOnThePreferredReplicaOfASession) {
  Settings s = BasicSettings();
  s.node_count = 20;
  std::map<std::uint64_t, std::map<ReplicaId, int>> chosen;  // by session: how often each replica was chosen
  for (std::uint64_t index = 0; index < 20; ++index) {
    Node node(s, index + 1);
    node.SetEndpoints(ReadyReplicas(16));
    for (std::uint64_t session = 1; session <= 10; ++session) {
      const RequestId id = node.Arrive(6 * kSecond, 1000, session);
      ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
      ++chosen[session][node.AttemptsOf(id)[0].replica];
      node.Advance(300 * kMs);
      node.Serve(id, 0, 300 * kMs);
    }
  }
  std::map<ReplicaId, int> preferred;  // the sessions of each preferred replica
  for (const auto& [session, counts] : chosen) {
    const auto most = std::max_element(counts.begin(), counts.end(),
                                       [](const auto& a, const auto& b) { return a.second < b.second; });
    EXPECT_GE(most->second, 14) << "session " << session;
    ++preferred[most->first];
  }
  EXPECT_GE(preferred.size(), 4u);
}

TEST(ReplicaSelection, AHotSessionUsesSeveralReplicas) {
  Settings s = BasicSettings();
  s.node_count = 20;
  Node node(s);
  node.SetEndpoints(ReadyReplicas(16));
  std::map<ReplicaId, int> chosen;  // in the second half, when the session is known to be hot
  for (int i = 0; i < 200; ++i) {
    const RequestId id = node.Arrive(6 * kSecond, 1000, 77);
    ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
    if (i >= 100) ++chosen[node.AttemptsOf(id)[0].replica];
    node.Advance(100 * kMs);
    node.Serve(id, 0, 300 * kMs);
  }
  EXPECT_GE(chosen.size(), 3u);
}

// A replica prefills a long prompt before the prompts behind it, so it has less spare capacity than its
// number of requests in flight suggests.
TEST(ReplicaSelection, APromptNotYetPrefilledTakesCapacity) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId large = node.Arrive(6 * kSecond, 16000);
  const ReplicaId busy = node.AttemptsOf(large)[0].replica;
  for (int i = 0; i < 4; ++i) EXPECT_NE(node.AttemptsOf(node.Arrive(6 * kSecond, 500))[0].replica, busy);
  node.Handle(ResponseStarted{large, 0, busy, 900 * kMs});  // the prefill, most of the work, has ended
  EXPECT_EQ(node.AttemptsOf(node.Arrive(6 * kSecond, 500))[0].replica, busy);
}

// A session's next turn goes to the replica that the node has sent its prompt to, until that one restarts.
TEST(ReplicaSelection, ASessionStaysWhereItsPromptIsCached) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const auto turn = [&](std::uint64_t session) {
    const RequestId id = node.Arrive(6 * kSecond, 8000, session);
    node.Serve(id, 0, 300 * kMs);
    node.Advance(kSecond);
    return node.AttemptsOf(id)[0].replica;
  };
  for (std::uint64_t session = 1001; session < 1009; ++session) turn(session);
  node.SetEndpoints(ReadyReplicas(8));  // by hash, other replicas would now be preferred
  for (std::uint64_t session = 1001; session < 1009; ++session) EXPECT_EQ(turn(session), 1u);
  auto fleet = ReadyReplicas(8);
  fleet[1].started_at = node.now - 1;
  node.SetEndpoints(fleet);
  int elsewhere = 0;
  for (std::uint64_t session = 1001; session < 1009; ++session) elsewhere += turn(session) == 1 ? 0 : 1;
  EXPECT_GE(elsewhere, 4);
}

// After a start the short answers are complete first, and the long ones after them make all replicas look
// slow at the same time. That shows nothing about any one replica, so it must not lower the limits.
TEST(ConcurrencyLimits, DoNotShrinkWhenAllReplicasLookSlowAlike) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2), Ready(3)});
  ServeMany(node, 1000, 100 * kMs);
  const double before = node.router.total_concurrency_limit();
  ServeMany(node, 1000, 350 * kMs);
  EXPECT_GE(node.router.total_concurrency_limit(), 0.95 * before);
}

// Where any replica breaks a stream now and then, ejecting a replica for a single failure would eject most of
// the fleet.
TEST(OutlierEjection, ASingleFailureEjectsNothingAndTwoInARowDo) {
  Settings s = BasicSettings();
  s.max_attempts = 1;
  Node node(s);
  node.SetEndpoints({Ready(1)});
  const RequestId running = node.Arrive();
  node.EndAttempt(node.Arrive(), 0, Outcome::kReset, false, 20 * kMs);
  const RequestId next = node.Arrive();
  ASSERT_EQ(node.AttemptsOf(next).size(), 1u);
  node.EndAttempt(next, 0, Outcome::kError, false, 20 * kMs);
  EXPECT_TRUE(node.AttemptsOf(node.Arrive()).empty());  // quick errors don't attract requests
  node.Serve(running);
}

TEST(ReplicaSelection, StaysInItsZoneWhereCrossingIsPenalized) {
  Settings s = BasicSettings();
  s.zone_count = 2;
  s.zone = 1;
  s.cross_zone_penalty = 0.08;
  Node node(s);
  node.SetEndpoints({Ready(1, 0), Ready(2, 0), Ready(3, 1), Ready(4, 1)});
  int in_own_zone = 0;
  for (int i = 0; i < 50; ++i) {
    const RequestId id = node.Arrive();
    in_own_zone += node.AttemptsOf(id)[0].replica >= 3 ? 1 : 0;
    node.Advance(50 * kMs);
    node.Serve(id, 0, 200 * kMs);
  }
  EXPECT_GE(in_own_zone, 45);
}

// A node of a large tier sees few answers of each replica, so it learns from all replicas of its zone
// together that the zone answers late.
TEST(ReplicaSelection, LeavesAZoneThatAnswersLateAsAWhole) {
  Settings s = BasicSettings();
  s.node_count = 100;
  s.zone_count = 2;
  s.zone = 1;
  s.cross_zone_penalty = 0.08;
  Node node(s);
  std::vector<Endpoint> fleet;
  for (ReplicaId id = 0; id < 60; ++id) fleet.push_back(Ready(id, id < 30 ? 0 : 1));
  node.SetEndpoints(fleet);
  int crossed_early = 0, crossed_late = 0;
  for (int i = 0; i < 200; ++i) {
    const RequestId id = node.Arrive();
    const bool in_own_zone = node.AttemptsOf(id).at(0).replica >= 30;
    if (!in_own_zone) ++(i < 100 ? crossed_early : crossed_late);
    node.Advance(50 * kMs);
    const bool slow = in_own_zone && i >= 100;
    node.Serve(id, 0, slow ? 8000 * kMs : 400 * kMs);  // the first token comes after a quarter of this
  }
  EXPECT_LE(crossed_early, 10);
  EXPECT_GE(crossed_late, 50);
}

// Hedged requests would add to an overload: where first tokens are late, there is no capacity for more
// attempts.
TEST(HedgedRequests, AreNotSent) {
  Settings s = BasicSettings();
  s.can_hedge = true;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  ServeMany(node, 1000, 200 * kMs);
  const RequestId id = node.Arrive();
  node.Advance(3900 * kMs);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
}

TEST(TenantQuotas, RequestsBeyondTheQuotaWaitBehindThoseWithin) {
  Settings s = BasicSettings();
  s.over_quota_weight = 0.1;
  s.tenants = {{"a", 0.5, 2.0}, {"b", 0.5, 2.0}};
  Node node(s);
  node.SetEndpoints({Ready(1)});
  const auto arrive = [&](int tenant) {
    RequestArrived arrival;
    arrival.id = ++node.last_request;
    arrival.tenant_index = tenant;
    arrival.time_budget = 7 * kSecond;
    arrival.prompt_tokens = 1000;
    node.Handle(arrival);
    return arrival.id;
  };
  for (int i = 0; i < 200; ++i) arrive(0);
  const RequestId beyond = node.last_request;
  const RequestId within = arrive(1);
  ASSERT_EQ(node.AttemptsOf(beyond).size() + node.AttemptsOf(within).size(), 0u);
  for (std::size_t i = 0; i < 200 && node.AttemptsOf(within).empty(); ++i) {
    node.Serve(node.Actions<SendAttempt>()[i].id, 0, 100 * kMs);
  }
  EXPECT_EQ(node.AttemptsOf(within).size(), 1u);
  EXPECT_EQ(node.AttemptsOf(beyond).size(), 0u);
}

TEST(Memory, HoldsOnlyOpenRequestsAndListedReplicas) {
  Node node(BasicSettings());
  for (ReplicaId i = 0; i < 500; ++i) {
    node.SetEndpoints({Ready(i), Ready(i + 1)});
    const RequestId id = node.Arrive();
    node.Advance(20 * kMs);
    if (!node.AttemptsOf(id).empty()) node.Serve(id);
  }
  node.Advance(20 * kSecond);
  EXPECT_EQ(node.router.open_requests(), 0u);
  EXPECT_EQ(node.router.queued_requests(), 0u);
  EXPECT_EQ(node.router.concurrency_limit(3), 0);
}

}  // namespace
// ---- Large fleets ----

constexpr ReplicaId kLargeFleetSize = 300;

// The replica to which a request with this prefix is sent while no other request is in flight.
ReplicaId PreferredReplicaOf(Node& node, std::uint64_t prefix) {
  const RequestId id = node.Arrive(4 * kSecond, 2000, 0, prefix);
  const ReplicaId replica = node.AttemptsOf(id).at(0).replica;
  node.Serve(id);
  node.Advance(2 * kSecond);
  return replica;
}

TEST(LargeFleet, NodesAgreeOnPreferredReplicasAndFewMoveWhenSomeLeave) {
  Settings s = BasicSettings();
  s.node_count = 4;
  Node a(s, 7), b(s, 8);
  a.SetEndpoints(ReadyReplicas(kLargeFleetSize));
  b.SetEndpoints(ReadyReplicas(kLargeFleetSize));
  std::vector<ReplicaId> before;
  int same = 0;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    before.push_back(PreferredReplicaOf(a, 1000 + key));
    same += PreferredReplicaOf(b, 1000 + key) == before.back() ? 1 : 0;
  }
  EXPECT_GE(same, 54);
  Node c(s, 9);
  std::vector<Endpoint> rest = ReadyReplicas(kLargeFleetSize);
  rest.erase(rest.begin() + 100, rest.begin() + 115);
  c.SetEndpoints(rest);
  int moved = 0;
  for (std::uint64_t key = 1; key <= 60; ++key) {
    moved += PreferredReplicaOf(c, 1000 + key) != before[static_cast<std::size_t>(key - 1)] ? 1 : 0;
  }
  // About 3 keys had a removed replica as the preferred one; ties and random draws move some others.
  EXPECT_LE(moved, 15);
}

// Guards against a hundred nodes that have each seen a hot prefix once or twice and all send it to its one
// preferred replica, which then gets a quarter of the fleet's requests and answers seconds late.
TEST(LargeTier, APrefixSeenOnceIsNotSentToOneReplicaByAll) {
  const auto replicas_chosen = [](int nodes) {
    Settings s = BasicSettings();
    s.node_count = nodes;
    std::map<ReplicaId, int> chosen;
    for (std::uint64_t seed = 1; seed <= 24; ++seed) {
      Node node(s, seed);
      node.SetEndpoints(ReadyReplicas(40));
      const RequestId other = node.Arrive(4 * kSecond, 2000);  // the node has seen another request
      const RequestId id = node.Arrive(4 * kSecond, 2000, 0, 77);
      ++chosen[node.AttemptsOf(id).at(0).replica];
      node.Serve(other);
    }
    return chosen.size();
  };
  EXPECT_GE(replicas_chosen(100), 4u);
  EXPECT_LE(replicas_chosen(3), 2u);  // a few nodes can't overload the preferred replica
}

TEST(LargeFleet, DrainingAndUnreachableReplicasGetNoNewRequests) {
  Node node(BasicSettings());
  node.SetEndpoints(ReadyReplicas(kLargeFleetSize));
  std::vector<Endpoint> draining;
  for (ReplicaId id = 0; id < kLargeFleetSize; id += 2) {
    Endpoint e = Ready(id);
    e.state = EndpointState::kDraining;
    draining.push_back(e);
  }
  node.SetEndpoints(draining, EndpointListScope::kDelta);
  std::map<ReplicaId, int> sent;
  for (int i = 0; i < 600; ++i) {
    const RequestId id =
        node.Arrive(4 * kSecond, 500, static_cast<std::uint64_t>(i), static_cast<std::uint64_t>(i % 9));
    for (const SendAttempt& send : node.AttemptsOf(id)) {
      EXPECT_EQ(send.replica % 2, 1U);
      ++sent[send.replica];
    }
    node.Advance(5 * kMs);
    if (!node.AttemptsOf(id).empty()) node.Serve(id);
  }
  EXPECT_GT(sent.size(), 60U);  // the requests are spread over the ready replicas
  // A replica that can't be reached is ejected at once, although the limits are updated only at intervals.
  const RequestId id = node.Arrive();
  const ReplicaId unreachable = node.AttemptsOf(id).at(0).replica;
  node.EndAttempt(id, 0, Outcome::kConnectFailed, false);
  for (int i = 0; i < 200; ++i) {
    const RequestId next = node.Arrive();
    EXPECT_NE(node.AttemptsOf(next).at(0).replica, unreachable);
    node.Serve(next);
    node.Advance(1 * kMs);
  }
}

// Queued requests are dispatched as soon as there is capacity again, even before the limits are updated.
TEST(LargeFleet, QueuedRequestsAreDispatchedWhenCapacityReturns) {
  Node node(BasicSettings());
  node.SetEndpoints(ReadyReplicas(80));
  std::vector<RequestId> all;
  for (int i = 0; i < 6000; ++i) all.push_back(node.Arrive());
  ASSERT_GT(node.router.queued_requests(), 0U);
  std::vector<RequestId> in_flight;
  for (const RequestId id : all) {
    if (!node.AttemptsOf(id).empty()) in_flight.push_back(id);
  }
  const std::size_t queued = node.router.queued_requests();
  for (std::size_t i = 0; i < 50; ++i) {
    node.Advance(1 * kMs);
    node.Serve(in_flight[i]);
  }
  EXPECT_LE(node.router.queued_requests(), queued - 40);
}

}  // namespace ryeglade::policy::test
