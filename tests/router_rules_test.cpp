// The rules that every decision must keep, with their corner cases: no request is lost, none is executed
// twice against its idempotency, draining replicas get no new requests, and replicas that are warming up are
// not overloaded. Also service discovery, determinism, and invalid events.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "node.h"

namespace ryeglade::policy::test {
namespace {

// ---- No request is lost ----

TEST(NoRequestLost, QueuedWithoutReplicasIsRejectedBeforeTheClientLeaves) {
  Node node(BasicSettings());
  const Time start = node.now;
  const RequestId id = node.Arrive(3 * kSecond);
  EXPECT_EQ(node.router.queued_requests(), 1u);
  node.AdvanceTo(start + 3 * kSecond - 1);
  EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), 1u);
  node.Advance(10 * kSecond);
  EXPECT_EQ(node.FinalResponses(id), 1u);
  EXPECT_EQ(node.router.open_requests(), 0u);
}

TEST(NoRequestLost, TheRequestsTimeBudgetIsUsedNotTheClassDefault) {
  Node node(BasicSettings());
  const RequestId id = node.Arrive(200 * kMs);
  node.Advance(199 * kMs);
  EXPECT_EQ(node.FinalResponses(id), 1u);
}

// Guards against an overflow: the latency objective for -1.6e22 tokens, as in a damaged frame, does not fit
// in a Time.
TEST(NoRequestLost, OutOfRangePromptLengthsAreBounded) {
  Settings s = BasicSettings();
  s.classes[0].objective_per_1000_tokens = kSecond;
  Node node(s);
  node.SetEndpoints({Ready(1)});
  RequestArrived e;
  e.time_budget = 3 * kSecond;
  for (const double tokens : {-1.55644e22, 1e300, std::nan(""), std::numeric_limits<double>::infinity()}) {
    ++e.id;
    e.prompt_tokens = tokens;
    node.Handle(e);
    EXPECT_EQ(node.AttemptsOf(e.id).size() + node.FinalResponses(e.id), 1u) << tokens;
  }
  node.Advance(10 * kSecond);
  for (RequestId id = 1; id <= e.id; ++id)
    EXPECT_EQ(node.FinalResponses(id) + node.AttemptsOf(id).size(), 1u);
}

// A request may arrive with no time budget left; a timer would conclude it slightly too late.
TEST(NoRequestLost, NoTimeBudgetLeftIsConcludedAtOnce) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const RequestId id = node.Arrive(0);
  EXPECT_EQ(node.FinalResponses(id), 1u);
  EXPECT_TRUE(node.AttemptsOf(id).empty());
}

// Guards against computing the latest dispatch anew when its timer fires: if it is later by then and no timer
// is set again, the request is never concluded.
TEST(NoRequestLost, TheLatestDispatchDoesNotMovePastItsTimer) {
  Settings s = BasicSettings();
  s.classes[0].late_weight_share = 0;
  Node node(s);
  node.SetEndpoints({Ready(1)});
  for (int i = 0; i < 10; ++i) {  // slow first tokens
    const RequestId id = node.Arrive(7 * kSecond);
    node.Advance(800 * kMs);
    node.Serve(id, 0, 2 * kSecond);
  }
  std::vector<RequestId> arrived;  // all but the last are in flight
  while (node.router.queued_requests() == 0) arrived.push_back(node.Arrive(7 * kSecond));
  const RequestId queued = arrived.back();
  node.SetEndpoints({});  // so that it stays queued
  for (std::size_t i = 0; i + 1 < arrived.size(); ++i)
    node.Handle(ResponseStarted{arrived[i], 0, 1, 1 * kMs});  // fast first tokens from now on
  node.Advance(7 * kSecond);
  EXPECT_EQ(node.FinalResponses(queued), 1u);
}

TEST(NoRequestLost, TimeoutAtTheDeadlineIsConcludedAtOnce) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const RequestId id = node.Arrive(2 * kSecond);
  ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
  node.Advance(2 * kSecond);
  EXPECT_EQ(node.FinalResponses(id), 0u);
  node.EndAttempt(id, 0, Outcome::kTimeout, false, 2 * kSecond);
  EXPECT_EQ(node.FinalResponses(id), 1u);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
}

TEST(NoRequestLost, ADisconnectedClientGetsNoFinalResponse) {
  Node node(BasicSettings());
  const RequestId queued = node.Arrive();
  node.Handle(ClientDisconnected{queued});
  EXPECT_EQ(node.router.queued_requests(), 0u);
  node.SetEndpoints({Ready(1)});
  const RequestId in_flight = node.Arrive();
  ASSERT_EQ(node.AttemptsOf(in_flight).size(), 1u);
  node.Handle(ClientDisconnected{in_flight});
  EXPECT_EQ(node.ActionsFor<CancelAttempt>(in_flight).size(), 1u);
  node.EndAttempt(in_flight, 0, Outcome::kCancelled, true);
  node.Advance(20 * kSecond);
  EXPECT_EQ(node.FinalResponses(queued) + node.FinalResponses(in_flight), 0u);
  EXPECT_EQ(node.AttemptsOf(queued).size(), 0u);
  EXPECT_EQ(node.router.open_requests(), 0u);
}

TEST(NoRequestLost, AClientThatDisconnectsWhileStreamingLeavesNoState) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const RequestId id = node.Arrive();
  node.Handle(ResponseStarted{id, 0, 1, 100 * kMs});
  node.Handle(ClientDisconnected{id});
  node.EndAttempt(id, 0, Outcome::kReset, true);
  EXPECT_EQ(node.router.open_requests(), 0u);
  EXPECT_EQ(node.router.in_flight(1), 0);
  EXPECT_EQ(node.FinalResponses(id), 0u);
}

TEST(NoRequestLost, BrokenStreamIsConcludedWithoutAnotherAttempt) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.Handle(ResponseStarted{id, 0, node.AttemptsOf(id)[0].replica, 100 * kMs});
  node.EndAttempt(id, 0, Outcome::kReset, true);
  node.Advance(10 * kSecond);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
  EXPECT_EQ(node.FinalResponses(id), 0u);
}

class EveryOutcome : public testing::TestWithParam<std::tuple<Outcome, bool>> {};

TEST_P(EveryOutcome, LeadsToExactlyOneConclusion) {
  const auto [outcome, concluded] = GetParam();
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2), Ready(3)});
  const RequestId id = node.Arrive(6 * kSecond);
  const bool ends = concluded || outcome == Outcome::kServed;
  for (std::size_t attempt = 0; attempt < node.AttemptsOf(id).size() && attempt < 10; ++attempt) {
    node.Advance(10 * kMs);
    node.EndAttempt(id, static_cast<int>(attempt), outcome, ends, 10 * kMs);
    if (ends) break;
    node.Advance(600 * kMs);
  }
  node.Advance(20 * kSecond);
  EXPECT_EQ(node.FinalResponses(id), ends ? 0u : 1u);
  EXPECT_LE(node.AttemptsOf(id).size(), 4u);
  EXPECT_EQ(node.router.open_requests(), 0u);
  EXPECT_EQ(node.router.in_flight(1) + node.router.in_flight(2) + node.router.in_flight(3), 0);
}

INSTANTIATE_TEST_SUITE_P(AllOutcomes, EveryOutcome,
                         testing::Combine(testing::Values(Outcome::kServed, Outcome::kError,
                                                          Outcome::kAtCapacity, Outcome::kTimeout,
                                                          Outcome::kConnectFailed, Outcome::kReset,
                                                          Outcome::kCancelled, Outcome::kNotSent),
                                          testing::Bool()));

TEST(NoRequestLost, AtCapacityUntilAttemptsRunOutIsRejectedWithRetryAfter) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive(6 * kSecond);
  for (int a = 0; a < 4; ++a) {
    ASSERT_EQ(node.AttemptsOf(id).size(), static_cast<std::size_t>(a) + 1);
    node.EndAttempt(id, a, Outcome::kAtCapacity, false, 1 * kMs);
    node.Advance(600 * kMs);
  }
  ASSERT_EQ(node.ActionsFor<RejectRequest>(id).size(), 1u);
  EXPECT_GT(node.ActionsFor<RejectRequest>(id)[0].retry_after, 0);
}

// ---- No duplicate execution ----

Settings WithIdempotency(Idempotency idempotency, DedupScope scope = DedupScope::kAll) {
  Settings s = BasicSettings();
  s.classes[0].idempotency = idempotency;
  s.classes[0].dedup_scope = scope;
  return s;
}

TEST(NoDuplicateExecution, NotIdempotentIsNeitherRetriedNorRejectedOnceItMayHaveRun) {
  Node node(WithIdempotency(Idempotency::kNotIdempotent));
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.EndAttempt(id, 0, Outcome::kReset, false);
  node.Advance(10 * kSecond);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
  EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), 0u);
  EXPECT_EQ(node.ActionsFor<FailRequest>(id).size(), 1u);
}

TEST(NoDuplicateExecution, NotIdempotentIsRetriedAfterProofThatItNeverRan) {
  Node node(WithIdempotency(Idempotency::kNotIdempotent));
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.EndAttempt(id, 0, Outcome::kConnectFailed, false);
  node.Advance(10 * kMs);
  EXPECT_EQ(node.AttemptsOf(id).size(), 2u);
}

TEST(NoDuplicateExecution, NotIdempotentQueuedAfterAtCapacityMayBeRejected) {
  Node node(WithIdempotency(Idempotency::kNotIdempotent));
  node.SetEndpoints({Ready(1)});
  const RequestId id = node.Arrive();
  node.SetEndpoints({});
  node.EndAttempt(id, 0, Outcome::kAtCapacity, false, 1 * kMs);
  node.Advance(10 * kSecond);
  EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), 1u);
}

TEST(NoDuplicateExecution, WithAnIdempotencyKeyStaysInTheDedupZone) {
  Node node(WithIdempotency(Idempotency::kIdempotencyKey, DedupScope::kZone));
  node.SetEndpoints({Ready(1, 0), Ready(2, 0), Ready(3, 1), Ready(4, 1), Ready(5, 1), Ready(6, 2)});
  const RequestId id = node.Arrive();
  const ReplicaId first = node.AttemptsOf(id)[0].replica;
  const auto zone = [](ReplicaId r) { return r <= 2 ? 0 : r <= 5 ? 1 : 2; };
  for (int a = 0; a < 4 && static_cast<std::size_t>(a) < node.AttemptsOf(id).size(); ++a) {
    node.EndAttempt(id, a, Outcome::kReset, false, 10 * kMs);
    node.Advance(900 * kMs);
  }
  node.Advance(10 * kSecond);
  for (const SendAttempt& s : node.AttemptsOf(id)) EXPECT_EQ(zone(s.replica), zone(first));
  // Not rejected, because the client's retry could reach another zone.
  EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), 0u);
  EXPECT_EQ(node.ActionsFor<FailRequest>(id).size(), 1u);
}

TEST(NoDuplicateExecution, WithAnIdempotencyKeyStaysInTheDedupCell) {
  Node node(WithIdempotency(Idempotency::kIdempotencyKey, DedupScope::kCell));
  node.SetEndpoints({Ready(1, 0, 4), Ready(2, 0, 5), Ready(3, 0, 6)});
  const RequestId id = node.Arrive();
  for (int a = 0; a < 4 && static_cast<std::size_t>(a) < node.AttemptsOf(id).size(); ++a) {
    node.EndAttempt(id, a, Outcome::kError, false, 10 * kMs);
    node.Advance(2600 * kMs);
  }
  node.Advance(10 * kSecond);
  for (const SendAttempt& s : node.AttemptsOf(id)) EXPECT_EQ(s.replica, node.AttemptsOf(id)[0].replica);
  EXPECT_EQ(node.ActionsFor<FailRequest>(id).size(), 1u);
}

TEST(NoDuplicateExecution, WithAnIdempotencyKeyIsNotRetriedAfterTheDedupWindow) {
  Settings s = WithIdempotency(Idempotency::kIdempotencyKey);
  s.classes[0].dedup_window = 1 * kSecond;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive(6 * kSecond);
  node.Advance(1 * kSecond);
  node.EndAttempt(id, 0, Outcome::kError, false, 1 * kSecond);
  node.Advance(10 * kSecond);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
  EXPECT_EQ(node.FinalResponses(id), 1u);
}

TEST(NoDuplicateExecution, WithAnIdempotencyKeyForAllReplicasMayBeRetried) {
  Node node(WithIdempotency(Idempotency::kIdempotencyKey));
  node.SetEndpoints({Ready(1), Ready(2), Ready(3)});
  const RequestId id = node.Arrive();
  node.EndAttempt(id, 0, Outcome::kError, false, 10 * kMs);
  node.Advance(10 * kMs);
  EXPECT_EQ(node.AttemptsOf(id).size(), 2u);
}

TEST(NoDuplicateExecution, NoHedgingWhereParallelAttemptsAreForbidden) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.Advance(3900 * kMs);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
}

TEST(NoDuplicateExecution, NotIdempotentIsNotHedged) {
  Settings s = WithIdempotency(Idempotency::kNotIdempotent);
  s.can_hedge = true;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.Advance(3900 * kMs);
  EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
}

TEST(NoDuplicateExecution, NothingIsCancelledWhereThatIsForbidden) {
  Settings s = BasicSettings();
  s.can_cancel = false;
  s.can_hedge = true;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  node.Advance(2 * kSecond);
  node.Handle(ClientDisconnected{id});
  node.Advance(5 * kSecond);
  EXPECT_TRUE(node.Actions<CancelAttempt>().empty());
  EXPECT_TRUE(node.Actions<CheckHealth>().empty());
}

// ---- Draining replicas get no new requests ----

TEST(Draining, ADrainingOrRemovedReplicaGetsNoNewRequests) {
  for (const EndpointState state : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Node node(BasicSettings());
    node.SetEndpoints({Ready(1), Ready(2)});
    Endpoint e = Ready(1);
    e.state = state;
    node.SetEndpoints({e}, EndpointListScope::kDelta);
    for (int i = 0; i < 20; ++i) {
      const RequestId id = node.Arrive();
      for (const SendAttempt& s : node.AttemptsOf(id)) EXPECT_EQ(s.replica, 2u);
      if (!node.AttemptsOf(id).empty()) node.Serve(id);
      node.Advance(20 * kMs);
    }
  }
}

TEST(Draining, AReplicaAbsentFromAFullListIsRemoved) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1), Ready(2)});
  node.SetEndpoints({Ready(2)});
  for (int i = 0; i < 10; ++i) {
    const RequestId id = node.Arrive();
    ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
    EXPECT_EQ(node.AttemptsOf(id)[0].replica, 2u);
    node.Serve(id);
  }
}

TEST(Draining, RequestsQueuedOrRetriedDuringADrainGoElsewhere) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  const RequestId in_flight = node.Arrive();
  Endpoint draining = Ready(1);
  draining.state = EndpointState::kDraining;
  node.SetEndpoints({draining}, EndpointListScope::kDelta);
  const RequestId queued = node.Arrive();
  EXPECT_TRUE(node.AttemptsOf(queued).empty());
  node.EndAttempt(in_flight, 0, Outcome::kReset, false, 5 * kMs);
  node.SetEndpoints({Ready(2)}, EndpointListScope::kDelta);
  ASSERT_EQ(node.AttemptsOf(queued).size(), 1u);
  EXPECT_EQ(node.AttemptsOf(queued)[0].replica, 2u);
  ASSERT_EQ(node.AttemptsOf(in_flight).size(), 2u);
  EXPECT_EQ(node.AttemptsOf(in_flight)[1].replica, 2u);
}

TEST(Draining, ARestartedReplicaGetsRequestsAgain) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  Endpoint e = Ready(1);
  e.state = EndpointState::kRemoved;
  node.SetEndpoints({e}, EndpointListScope::kDelta);
  node.Advance(kSecond);
  e.state = EndpointState::kReady;
  e.started_at = node.now;
  node.SetEndpoints({e}, EndpointListScope::kDelta);
  node.Advance(30 * kSecond);
  EXPECT_EQ(node.AttemptsOf(node.Arrive()).size(), 1u);
}

// ---- Replicas that warm up are not overloaded ----

TEST(SlowStart, ManyNodesTogetherStayWithinTheCapacityOfAWarmingReplica) {
  constexpr int kNodes = 60;
  constexpr int kWarmReplicas = 20;
  Settings s = BasicSettings();
  s.node_count = kNodes;
  int to_warming = 0, to_all = 0;
  for (int index = 0; index < kNodes; ++index) {
    Node node(s, static_cast<std::uint64_t>(index) + 1);
    node.SetEndpoints(ReadyReplicas(kWarmReplicas));
    const auto send_requests = [&](Time span, bool count) {
      for (Time at = 0; at < span; at += 250 * kMs) {
        node.Advance(250 * kMs);
        const RequestId id = node.Arrive();
        if (node.AttemptsOf(id).empty()) continue;
        if (count) {
          ++to_all;
          to_warming += node.AttemptsOf(id)[0].replica == 999 ? 1 : 0;
        }
        node.Serve(id, 0, 200 * kMs);
      }
    };
    send_requests(10 * kSecond, false);
    Endpoint warming = Ready(999);
    warming.started_at = node.now;
    node.SetEndpoints({warming}, EndpointListScope::kDelta);
    send_requests(3 * kSecond, true);
  }
  // A warmed-up replica gets 1/21 of the requests. The new one starts at a tenth of its capacity and may get
  // about a tenth of that; the bound of one half leaves a margin for random variation.
  const double per_warm_replica = static_cast<double>(to_all) / (kWarmReplicas + 1);
  EXPECT_GT(to_all, kNodes * 10);
  EXPECT_LT(to_warming, 0.5 * per_warm_replica);
}

// ---- Discovery ----

TEST(Discovery, NodesOpenTheirWatchesAtDifferentTimesWithinTheInterval) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  std::set<Time> times;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Node node(s, seed);
    const Time start = node.now;
    node.SetEndpoints({Ready(1)}, EndpointListScope::kCached);
    while (node.Actions<WatchEndpoints>().empty() && node.now < start + 10 * kSecond) node.Advance(50 * kMs);
    ASSERT_EQ(node.Actions<WatchEndpoints>().size(), 1u);
    EXPECT_LT(node.now, start + 1100 * kMs);
    times.insert((node.now - start) / (100 * kMs));
  }
  EXPECT_GE(times.size(), 6u);
}

TEST(Discovery, ABrokenWatchKeepsTheListAndIsReopened) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  Node node(s);
  node.SetEndpoints({Ready(1)}, EndpointListScope::kCached);
  node.Advance(9 * kSecond);
  const std::size_t watches_before = node.Actions<WatchEndpoints>().size();
  node.SetEndpoints({}, EndpointListScope::kFailed);
  EXPECT_EQ(node.AttemptsOf(node.Arrive()).size(), 1u);
  node.Advance(9 * kSecond);
  EXPECT_EQ(node.Actions<WatchEndpoints>().size(), watches_before + 1);
}

// The list known at the start may be out of date, and the node is soon expected to act on its changes.
TEST(Discovery, TheFirstListIsRequestedWithinASecond) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Node node(s, seed);
    node.SetEndpoints({Ready(1)}, EndpointListScope::kCached);
    node.Advance(1 * kSecond);
    EXPECT_EQ(node.Actions<WatchEndpoints>().size(), 1u);
  }
}

// The node is expected to act on a change at the latest 6 s after discovery has it and can be reached,
// however long discovery was down.
TEST(Discovery, AfterAnOutageOfAnyLengthTheListIsSoonRequestedAgain) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Node node(s, seed);
    node.SetEndpoints({Ready(1)}, EndpointListScope::kCached);
    node.Advance(1 * kSecond);
    for (int failure = 0; failure < 30; ++failure) {
      const std::size_t watches_before = node.Actions<WatchEndpoints>().size();
      node.SetEndpoints({}, EndpointListScope::kFailed);
      node.Advance(3 * kSecond);
      ASSERT_EQ(node.Actions<WatchEndpoints>().size(), watches_before + 1);
    }
  }
}

TEST(Discovery, PushModeOpensNoWatch) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)}, EndpointListScope::kCached);
  node.Advance(60 * kSecond);
  EXPECT_TRUE(node.Actions<WatchEndpoints>().empty());
  EXPECT_TRUE(node.Actions<PollEndpoints>().empty());
}

// ---- Determinism, and invalid events ----

// Returns the actions of a node in a fixed sequence of events, which are interleaved with events of
// `other_node`.
std::vector<Action> RunScript(std::uint64_t seed, Node* other_node = nullptr) {
  Node node(BasicSettings(), seed);
  node.SetEndpoints({Ready(3), Ready(1), Ready(2)});
  for (int i = 0; i < 60; ++i) {
    if (other_node != nullptr) {  // another node in the same process, with failures of its own
      other_node->SetEndpoints({Ready(1), Ready(static_cast<ReplicaId>(9 + i))});
      const RequestId other = other_node->Arrive(2 * kSecond, 900, 77);
      if (!other_node->AttemptsOf(other).empty())
        other_node->EndAttempt(other, 0, Outcome::kReset, false, 5 * kMs);
      other_node->Advance(40 * kMs);
    }
    const RequestId id = node.Arrive(2 * kSecond, 100.0 * (1 + i % 7), static_cast<std::uint64_t>(i % 5));
    node.Advance(30 * kMs);
    if (i % 3 != 0 && !node.AttemptsOf(id).empty()) {
      node.EndAttempt(id, 0, i % 4 == 0 ? Outcome::kError : Outcome::kServed, i % 4 != 0, 30 * kMs);
    }
  }
  node.Advance(10 * kSecond);
  return node.actions;
}

TEST(Determinism, IdenticalEventsGiveIdenticalActions) {
  const auto comparable = [](const std::vector<Action>& log) {
    std::vector<std::tuple<std::size_t, std::uint64_t, std::uint64_t>> rows;
    for (const Action& a : log) {
      std::uint64_t x = 0, y = 0;
      if (const auto* s = std::get_if<SendAttempt>(&a)) x = s->id, y = s->replica;
      if (const auto* t = std::get_if<SetTimer>(&a)) x = t->token, y = static_cast<std::uint64_t>(t->delay);
      if (const auto* r = std::get_if<RejectRequest>(&a)) x = r->id;
      rows.emplace_back(a.index(), x, y);
    }
    return rows;
  };
  EXPECT_EQ(comparable(RunScript(5)), comparable(RunScript(5)));
  Node other_node(BasicSettings(), 6);
  EXPECT_EQ(comparable(RunScript(5)), comparable(RunScript(5, &other_node)));
  EXPECT_FALSE(RunScript(5).empty());
}

TEST(InvalidEvents, AreIgnored) {
  Node node(BasicSettings());
  node.SetEndpoints({Ready(1)});
  node.Handle(ResponseStarted{99, 0, 1, 5});
  node.Handle(AttemptEnded{99, 0, 1, Outcome::kServed, 5, true, 0, {}});
  node.Handle(ClientDisconnected{99});
  node.Handle(TimerFired{12345});
  node.Handle(HealthCheckCompleted{77, Outcome::kServed, 5, {1, 2, 3}});
  const RequestId id = node.Arrive();
  node.Handle(AttemptEnded{id, 7, 1, Outcome::kServed, 5, true, 0, {}});
  node.Handle(AttemptEnded{id, -1, 1, Outcome::kServed, 5, true, 0, {}});
  EXPECT_EQ(node.router.in_flight(1), 1);
  RequestArrived again;
  again.id = id;
  again.class_index = 55;
  again.tenant_index = -3;
  again.time_budget = kSecond;
  node.Handle(again);
  EXPECT_EQ(node.router.open_requests(), 1u);
  node.Serve(id);
  node.Handle(AttemptEnded{id, 0, 1, Outcome::kServed, 5, true, 0, {}});
  EXPECT_EQ(node.router.in_flight(1), 0);
  EXPECT_EQ(node.router.open_requests(), 0u);
  node.now -= 50 * kSecond;  // a time before the latest event is replaced by that event's time
  EXPECT_EQ(node.AttemptsOf(node.Arrive()).size(), 1u);
}

// A new process uses the state of the old one as if it had learned it itself, except that of replicas which
// have restarted since.
TEST(StateRestored, ANewProcessUsesWhatTheOldOneLearned) {
  Node old_process(BasicSettings());
  old_process.SetEndpoints(ReadyReplicas(4));
  for (int i = 0; i < 60; ++i) old_process.Serve(old_process.Arrive(), 0, (i % 4 + 1) * 400 * kMs);
  const RequestId in_flight = old_process.Arrive();
  for (int i = 0; i < 2; ++i) {
    const RequestId id = old_process.Arrive();
    const ReplicaId failed = old_process.AttemptsOf(id).at(0).replica;
    old_process.EndAttempt(id, 0, Outcome::kConnectFailed, false);
    EXPECT_GT(old_process.router.ejected_until(failed), old_process.now);
  }
  auto learned = std::make_shared<LearnedState>(old_process.router.ExportState());
  Node new_process(BasicSettings());
  new_process.now = old_process.now;
  new_process.SetEndpoints(ReadyReplicas(4));
  const double before = new_process.router.total_concurrency_limit();
  new_process.Handle(StateRestored{learned});
  new_process.Arrive();  // limits are updated when a request is to be dispatched
  EXPECT_NE(new_process.router.total_concurrency_limit(), before);
  std::size_t ejected = 0;
  for (ReplicaId r = 0; r < 4; ++r) {
    EXPECT_EQ(new_process.router.ejected_until(r), old_process.router.ejected_until(r));
    ejected += new_process.router.ejected_until(r) > new_process.now ? 1 : 0;
  }
  EXPECT_GT(ejected, 0U);
  EXPECT_FALSE(old_process.AttemptsOf(in_flight).empty());
  // What was learned of a replica does not apply after its restart.
  Node after_restart(BasicSettings());
  after_restart.now = old_process.now;
  std::vector<Endpoint> fleet = ReadyReplicas(4);
  for (Endpoint& e : fleet) e.started_at = old_process.now - kSecond;
  after_restart.SetEndpoints(fleet);
  after_restart.Handle(StateRestored{learned});
  for (ReplicaId r = 0; r < 4; ++r) EXPECT_EQ(after_restart.router.ejected_until(r), 0);
  after_restart.Handle(StateRestored{nullptr});
}

// Attempts that the other process of a node still has in flight take capacity here until they have ended.
TEST(SiblingInFlightChanged, CountsAgainstTheLimits) {
  Node node(BasicSettings());
  node.SetEndpoints(ReadyReplicas(1));
  node.Handle(SiblingInFlightChanged{{{0, 1000}}});
  const RequestId id = node.Arrive();
  EXPECT_TRUE(node.AttemptsOf(id).empty());
  node.Handle(SiblingInFlightChanged{{{0, -5}, {77, 3}}});  // a negative count is 0; replica 77 is unknown
  EXPECT_EQ(node.AttemptsOf(id).size(), 1U);
  node.Serve(id);
  node.Handle(SiblingInFlightChanged{{{0, 1000}}});
  node.SetEndpoints({}, EndpointListScope::kFull);  // the replica is removed, and the attempts there with it
  node.SetEndpoints(ReadyReplicas(2));
  const RequestId next = node.Arrive();
  EXPECT_EQ(node.AttemptsOf(next).size(), 1U);
}

// Limits keep their sum over all nodes when the tier grows or shrinks.
TEST(NodeCountChanged, RescalesTheLimitsAndKeepsAttemptsInFlight) {
  Settings s = BasicSettings();
  s.node_count = 2;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
  const double before = node.router.total_concurrency_limit();
  node.Handle(NodeCountChanged{8});
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before / 4, before / 40);
  node.Handle(NodeCountChanged{2});
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before, before / 10);
  node.Handle(NodeCountChanged{0});  // treated as 1, which is this node
  node.Handle(NodeCountChanged{1});
  EXPECT_EQ(node.FinalResponses(id), 0u);
  node.Serve(id);
  EXPECT_EQ(node.router.in_flight(node.AttemptsOf(id)[0].replica), 0);
}

TEST(TrafficShareChanged, AMuchSmallerShareLowersTheLimitsAndALargerOneLeavesThemToBeLearned) {
  Settings s = BasicSettings();
  s.node_count = 4;
  Node node(s);
  node.SetEndpoints({Ready(1), Ready(2)});
  const RequestId id = node.Arrive();
  const double before = node.router.total_concurrency_limit();
  node.Handle(TrafficShareChanged{0.24});  // hardly smaller, so the limits are left to be learned
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before, before / 50);
  node.Handle(TrafficShareChanged{0.125});
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before / 2, before / 20);
  node.Handle(TrafficShareChanged{0.5});
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before / 2, before / 20);
  for (const double invalid : {0.0, -1.0, 2.0, std::nan("")}) node.Handle(TrafficShareChanged{invalid});
  node.Arrive();
  EXPECT_NEAR(node.router.total_concurrency_limit(), before / 2, before / 20);
  EXPECT_EQ(node.FinalResponses(id), 0u);
}

TEST(InvalidEvents, UnknownClassTenantAndKindAreAccepted) {
  Node node(BasicSettings());
  Endpoint e = Ready(1);
  e.kind = 900;
  e.zone = 77;
  node.SetEndpoints({e});
  RequestArrived r;
  r.id = 1;
  r.class_index = 200;
  r.tenant_index = 4'000'000;
  r.time_budget = kSecond;
  node.Handle(r);
  ASSERT_EQ(node.AttemptsOf(1).size(), 1u);
  node.Serve(1);
  EXPECT_EQ(node.router.open_requests(), 0u);
}

// ---- Shortened deadlines ----

TEST(DeadlineShortened, AQueuedRequestIsRejectedWithinIt) {
  Node node(WithIdempotency(Idempotency::kNotIdempotent));
  const RequestId id = node.Arrive(8 * kSecond);
  node.Handle(DeadlineShortened{id, 500 * kMs});
  node.Advance(400 * kMs);
  EXPECT_EQ(node.FinalResponses(id), 0u);
  node.Advance(100 * kMs);
  EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), 1u);
  EXPECT_EQ(node.router.open_requests(), 0u);
}

TEST(DeadlineShortened, AtZeroTheAttemptInFlightIsTheLastAndDecidesTheResponse) {
  struct Row {
    Idempotency idempotency;
    DedupScope scope;
    bool may_reject;
  };
  for (const Row& row : {Row{Idempotency::kIdempotent, DedupScope::kAll, true},
                         Row{Idempotency::kNotIdempotent, DedupScope::kAll, false},
                         Row{Idempotency::kIdempotencyKey, DedupScope::kAll, true},
                         Row{Idempotency::kIdempotencyKey, DedupScope::kZone, false},
                         Row{Idempotency::kIdempotencyKey, DedupScope::kCell, false}}) {
    for (const Outcome outcome :
         {Outcome::kTimeout, Outcome::kConnectFailed, Outcome::kReset, Outcome::kNotSent}) {
      Node node(WithIdempotency(row.idempotency, row.scope));
      node.SetEndpoints(ReadyReplicas(3));
      const RequestId id = node.Arrive(8 * kSecond);
      ASSERT_EQ(node.AttemptsOf(id).size(), 1u);
      EXPECT_EQ(node.router.may_reject(id), row.may_reject);
      node.Handle(DeadlineShortened{id, 0});
      EXPECT_EQ(node.FinalResponses(id), 0u);  // an attempt is in flight
      node.EndAttempt(id, 0, outcome, false);
      EXPECT_EQ(node.AttemptsOf(id).size(), 1u);
      const bool never_ran = outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
      EXPECT_EQ(node.ActionsFor<RejectRequest>(id).size(), row.may_reject || never_ran ? 1u : 0u);
      EXPECT_EQ(node.FinalResponses(id), 1u);
    }
  }
}

TEST(DeadlineShortened, NeverExtendsTheDeadlineAndIgnoresUnknownRequests) {
  Node node(BasicSettings());
  const RequestId id = node.Arrive(300 * kMs);
  node.Handle(DeadlineShortened{id, 60 * kSecond});
  node.Handle(DeadlineShortened{id + 7, 0});
  node.Handle(DeadlineShortened{id, -5});
  EXPECT_EQ(node.FinalResponses(id), 1u);
  EXPECT_FALSE(node.router.may_reject(id));  // the request is concluded and no longer known
}

TEST(NoDuplicateExecution, ARetryCarriesTheRestOfTheDedupWindow) {
  Settings s = WithIdempotency(Idempotency::kIdempotencyKey);
  s.classes[0].dedup_window = 2 * kSecond;
  Node node(s);
  node.SetEndpoints(ReadyReplicas(3));
  const RequestId id = node.Arrive(8 * kSecond);
  node.Advance(700 * kMs);
  node.EndAttempt(id, 0, Outcome::kReset, false);
  ASSERT_EQ(node.AttemptsOf(id).size(), 2u);
  EXPECT_EQ(node.AttemptsOf(id)[0].write_within, 0);
  // 1.3 s of the window are left, less a margin of 0.16 s, because up to 0.15 s may pass between the node
  // reading its clock and writing the request.
  EXPECT_EQ(node.AttemptsOf(id)[1].write_within, 1140 * kMs);
  node.EndAttempt(id, 1, Outcome::kConnectFailed,
                  false);  // never ran, so the first attempt's window still counts
  ASSERT_EQ(node.AttemptsOf(id).size(), 3u);
  EXPECT_EQ(node.AttemptsOf(id)[2].write_within, 1140 * kMs);
}

TEST(NoDuplicateExecution, NoRetryWithinTheMarginAtTheEndOfTheDedupWindow) {
  for (const Time left : {100 * kMs, 150 * kMs}) {
    Settings s = WithIdempotency(Idempotency::kIdempotencyKey);
    s.classes[0].dedup_window = 2 * kSecond;
    Node node(s);
    node.SetEndpoints(ReadyReplicas(3));
    const RequestId id = node.Arrive(8 * kSecond);
    node.Advance(2 * kSecond - left);
    node.EndAttempt(id, 0, Outcome::kReset, false);
    EXPECT_EQ(node.AttemptsOf(id).size(), 1U) << left;
  }
}

// Endpoint lists may name zones that the settings do not know, or omit cells. Replicas of which the zone or
// cell is unknown may be in different ones.
TEST(NoDuplicateExecution, WithAnIdempotencyKeyIsNotRetriedWhereTheScopeIsUnknown) {
  for (const DedupScope scope : {DedupScope::kZone, DedupScope::kCell}) {
    Settings s = WithIdempotency(Idempotency::kIdempotencyKey);
    s.classes[0].dedup_scope = scope;
    Node node(s);
    std::vector<Endpoint> fleet = ReadyReplicas(3);
    for (Endpoint& e : fleet) e.zone = e.cell = -1;
    node.SetEndpoints(fleet);
    const RequestId id = node.Arrive(8 * kSecond);
    node.EndAttempt(id, 0, Outcome::kReset, false);
    EXPECT_EQ(node.AttemptsOf(id).size(), 1U);
  }
}

}  // namespace
}  // namespace ryeglade::policy::test
