// The four rules and their corners, and calls that should never be made.
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <limits>
#include <set>

#include "node.h"

namespace ryeglade::policy::test {
namespace {

// ---- No request is lost ----

TEST(NoRequestLost, HeldWithoutReplicasIsRefusedBeforeTheClientLeaves) {
  Node n(BasicSettings());
  const Time start = n.now;
  const RequestId id = n.Ask(3 * kSecond);
  EXPECT_EQ(n.router.queued_requests(), 1u);
  n.Until(start + 3 * kSecond - 1);
  EXPECT_EQ(n.Of<RejectRequest>(id).size(), 1u);
  n.Pass(10 * kSecond);
  EXPECT_EQ(n.Finals(id), 1u);
  EXPECT_EQ(n.router.open_requests(), 0u);
}

TEST(NoRequestLost, ShortPatienceCountsNotTheClassDeadline) {
  Node n(BasicSettings());
  const RequestId id = n.Ask(200 * kMs);
  n.Pass(199 * kMs);
  EXPECT_EQ(n.Finals(id), 1u);
}

// Found by the sanitizers on damaged frames: an aim worked out from -1.6e22 tokens does not fit a time.
TEST(NoRequestLost, AbsurdPromptLengthsAreBounded) {
  Settings s = BasicSettings();
  s.classes[0].objective_per_1000_tokens = kSecond;
  Node n(s);
  n.List({Ready(1)});
  RequestArrived e;
  e.time_budget = 3 * kSecond;
  for (const double tokens : {-1.55644e22, 1e300, std::nan(""), std::numeric_limits<double>::infinity()}) {
    ++e.id;
    e.prompt_tokens = tokens;
    n.Give(e);
    EXPECT_EQ(n.Sends(e.id).size() + n.Finals(e.id), 1u) << tokens;
  }
  n.Pass(10 * kSecond);
  for (RequestId id = 1; id <= e.id; ++id) EXPECT_EQ(n.Finals(id) + n.Sends(id).size(), 1u);
}

// Found on an overloaded day: a try came with no patience left, and a timer would have been a tick too late.
TEST(NoRequestLost, NoPatienceLeftIsAnsweredAtOnce) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  const RequestId id = n.Ask(0);
  EXPECT_EQ(n.Finals(id), 1u);
  EXPECT_TRUE(n.Sends(id).empty());
}

// Found on lagos-permits rough-2: the time to give up was worked out anew when its alarm rang, lay later by
// then, and no alarm was set again.
TEST(NoRequestLost, TheTimeToGiveUpDoesNotMoveAwayFromItsAlarm) {
  Settings s = BasicSettings();
  s.classes[0].late_weight_share = 0;
  Node n(s);
  n.List({Ready(1)});
  for (int i = 0; i < 10; ++i) {  // slow first tokens
    const RequestId id = n.Ask(7 * kSecond);
    n.Pass(800 * kMs);
    n.Serve(id, 0, 2 * kSecond);
  }
  std::vector<RequestId> out;
  while (n.router.queued_requests() == 0) out.push_back(n.Ask(7 * kSecond));
  const RequestId held = out.back();
  n.List({});  // so that it stays held
  for (std::size_t i = 0; i + 1 < out.size(); ++i)
    n.Give(ResponseStarted{out[i], 0, 1, 1 * kMs});  // fast now
  n.Pass(7 * kSecond);
  EXPECT_EQ(n.Finals(held), 1u);
}

TEST(NoRequestLost, TimeoutAtTheDeadlineIsAnsweredAtOnce) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  const RequestId id = n.Ask(2 * kSecond);
  ASSERT_EQ(n.Sends(id).size(), 1u);
  n.Pass(2 * kSecond);
  EXPECT_EQ(n.Finals(id), 0u);
  n.End(id, 0, Outcome::kTimeout, false, 2 * kSecond);
  EXPECT_EQ(n.Finals(id), 1u);
  EXPECT_EQ(n.Sends(id).size(), 1u);
}

TEST(NoRequestLost, ClientGoneWhileHeldOrOutOwesNothing) {
  Node n(BasicSettings());
  const RequestId held = n.Ask();
  n.Give(ClientDisconnected{held});
  EXPECT_EQ(n.router.queued_requests(), 0u);
  n.List({Ready(1)});
  const RequestId out = n.Ask();
  ASSERT_EQ(n.Sends(out).size(), 1u);
  n.Give(ClientDisconnected{out});
  EXPECT_EQ(n.Of<CancelAttempt>(out).size(), 1u);
  n.End(out, 0, Outcome::kCancelled, true);
  n.Pass(20 * kSecond);
  EXPECT_EQ(n.Finals(held) + n.Finals(out), 0u);
  EXPECT_EQ(n.Sends(held).size(), 0u);
  EXPECT_EQ(n.router.open_requests(), 0u);
}

TEST(NoRequestLost, ClientGoneWhileStreamingLeavesNothingBehind) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  const RequestId id = n.Ask();
  n.Give(ResponseStarted{id, 0, 1, 100 * kMs});
  n.Give(ClientDisconnected{id});
  n.End(id, 0, Outcome::kReset, true);
  EXPECT_EQ(n.router.open_requests(), 0u);
  EXPECT_EQ(n.router.in_flight(1), 0);
  EXPECT_EQ(n.Finals(id), 0u);
}

TEST(NoRequestLost, BrokenStreamIsConcludedWithoutAnotherAttempt) {
  Node n(BasicSettings());
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.Give(ResponseStarted{id, 0, n.Sends(id)[0].replica, 100 * kMs});
  n.End(id, 0, Outcome::kReset, true);
  n.Pass(10 * kSecond);
  EXPECT_EQ(n.Sends(id).size(), 1u);
  EXPECT_EQ(n.Finals(id), 0u);
}

class EveryOutcome : public testing::TestWithParam<std::tuple<Outcome, bool>> {};

TEST_P(EveryOutcome, LeadsToExactlyOneEnd) {
  const auto [outcome, concluded] = GetParam();
  Node n(BasicSettings());
  n.List({Ready(1), Ready(2), Ready(3)});
  const RequestId id = n.Ask(6 * kSecond);
  const bool ends = concluded || outcome == Outcome::kServed;
  for (std::size_t attempt = 0; attempt < n.Sends(id).size() && attempt < 10; ++attempt) {
    n.Pass(10 * kMs);
    n.End(id, static_cast<int>(attempt), outcome, ends, 10 * kMs);
    if (ends) break;
    n.Pass(600 * kMs);
  }
  n.Pass(20 * kSecond);
  EXPECT_EQ(n.Finals(id), ends ? 0u : 1u);
  EXPECT_LE(n.Sends(id).size(), 4u);
  EXPECT_EQ(n.router.open_requests(), 0u);
  EXPECT_EQ(n.router.in_flight(1) + n.router.in_flight(2) + n.router.in_flight(3), 0);
}

INSTANTIATE_TEST_SUITE_P(Codes, EveryOutcome,
                         testing::Combine(testing::Values(Outcome::kServed, Outcome::kError,
                                                          Outcome::kAtCapacity, Outcome::kTimeout,
                                                          Outcome::kConnectFailed, Outcome::kReset,
                                                          Outcome::kCancelled, Outcome::kNotSent),
                                          testing::Bool()));

TEST(NoRequestLost, FullUntilAttemptsRunOutIsRefusedWithRetryAfter) {
  Node n(BasicSettings());
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask(6 * kSecond);
  for (int a = 0; a < 4; ++a) {
    ASSERT_EQ(n.Sends(id).size(), static_cast<std::size_t>(a) + 1);
    n.End(id, a, Outcome::kAtCapacity, false, 1 * kMs);
    n.Pass(600 * kMs);
  }
  ASSERT_EQ(n.Of<RejectRequest>(id).size(), 1u);
  EXPECT_GT(n.Of<RejectRequest>(id)[0].retry_after, 0);
}

// ---- No effect twice ----

Settings WithEffect(Idempotency effect, DedupScope scope = DedupScope::kAll) {
  Settings s = BasicSettings();
  s.classes[0].idempotency = effect;
  s.classes[0].dedup_scope = scope;
  return s;
}

TEST(NoEffectTwice, UnsafeIsNeverRepeatedNorRefusedOnceItMayHaveRun) {
  Node n(WithEffect(Idempotency::kNotIdempotent));
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.End(id, 0, Outcome::kReset, false);
  n.Pass(10 * kSecond);
  EXPECT_EQ(n.Sends(id).size(), 1u);
  EXPECT_EQ(n.Of<RejectRequest>(id).size(), 0u);
  EXPECT_EQ(n.Of<FailRequest>(id).size(), 1u);
}

TEST(NoEffectTwice, UnsafeGoesOnAfterProofThatItNeverRan) {
  Node n(WithEffect(Idempotency::kNotIdempotent));
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.End(id, 0, Outcome::kConnectFailed, false);
  n.Pass(10 * kMs);
  EXPECT_EQ(n.Sends(id).size(), 2u);
}

TEST(NoEffectTwice, UnsafeHeldAfterFullMayBeRefused) {
  Node n(WithEffect(Idempotency::kNotIdempotent));
  n.List({Ready(1)});
  const RequestId id = n.Ask();
  n.List({});
  n.End(id, 0, Outcome::kAtCapacity, false, 1 * kMs);
  n.Pass(10 * kSecond);
  EXPECT_EQ(n.Of<RejectRequest>(id).size(), 1u);
}

TEST(NoEffectTwice, KeyedStaysInTheZoneThatDropsRepeats) {
  Node n(WithEffect(Idempotency::kIdempotencyKey, DedupScope::kZone));
  n.List({Ready(1, 0), Ready(2, 0), Ready(3, 1), Ready(4, 1), Ready(5, 1), Ready(6, 2)});
  const RequestId id = n.Ask();
  const ReplicaId first = n.Sends(id)[0].replica;
  const auto zone = [](ReplicaId r) { return r <= 2 ? 0 : r <= 5 ? 1 : 2; };
  for (int a = 0; a < 4 && static_cast<std::size_t>(a) < n.Sends(id).size(); ++a) {
    n.End(id, a, Outcome::kReset, false, 10 * kMs);
    n.Pass(900 * kMs);
  }
  n.Pass(10 * kSecond);
  for (const SendAttempt& s : n.Sends(id)) EXPECT_EQ(zone(s.replica), zone(first));
  EXPECT_EQ(n.Of<RejectRequest>(id).size(), 0u);  // the client could take it elsewhere
  EXPECT_EQ(n.Of<FailRequest>(id).size(), 1u);
}

TEST(NoEffectTwice, KeyedStaysInTheCellThatDropsRepeats) {
  Node n(WithEffect(Idempotency::kIdempotencyKey, DedupScope::kCell));
  n.List({Ready(1, 0, 4), Ready(2, 0, 5), Ready(3, 0, 6)});
  const RequestId id = n.Ask();
  for (int a = 0; a < 4 && static_cast<std::size_t>(a) < n.Sends(id).size(); ++a) {
    n.End(id, a, Outcome::kError, false, 10 * kMs);
    n.Pass(2600 * kMs);
  }
  n.Pass(10 * kSecond);
  for (const SendAttempt& s : n.Sends(id)) EXPECT_EQ(s.replica, n.Sends(id)[0].replica);
  EXPECT_EQ(n.Of<FailRequest>(id).size(), 1u);
}

TEST(NoEffectTwice, KeyedIsNotSentAgainAfterItsWindow) {
  Settings s = WithEffect(Idempotency::kIdempotencyKey);
  s.classes[0].dedup_window = 1 * kSecond;
  Node n(s);
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask(6 * kSecond);
  n.Pass(1 * kSecond);
  n.End(id, 0, Outcome::kError, false, 1 * kSecond);
  n.Pass(10 * kSecond);
  EXPECT_EQ(n.Sends(id).size(), 1u);
  EXPECT_EQ(n.Finals(id), 1u);
}

TEST(NoEffectTwice, KeyedForAllReplicasMayBeRepeatedAndRefused) {
  Node n(WithEffect(Idempotency::kIdempotencyKey));
  n.List({Ready(1), Ready(2), Ready(3)});
  const RequestId id = n.Ask();
  n.End(id, 0, Outcome::kError, false, 10 * kMs);
  n.Pass(10 * kMs);
  EXPECT_EQ(n.Sends(id).size(), 2u);
}

TEST(NoEffectTwice, NoSecondCopyWhereParallelAttemptsAreForbidden) {
  Node n(BasicSettings());
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.Pass(3900 * kMs);
  EXPECT_EQ(n.Sends(id).size(), 1u);
}

TEST(NoEffectTwice, UnsafeGetsNoSecondCopy) {
  Settings s = WithEffect(Idempotency::kNotIdempotent);
  s.can_hedge = true;
  Node n(s);
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.Pass(3900 * kMs);
  EXPECT_EQ(n.Sends(id).size(), 1u);
}

TEST(NoEffectTwice, NothingIsCancelledWhereThatIsForbidden) {
  Settings s = BasicSettings();
  s.can_cancel = false;
  s.can_hedge = true;
  Node n(s);
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  n.Pass(2 * kSecond);
  n.Give(ClientDisconnected{id});
  n.Pass(5 * kSecond);
  EXPECT_TRUE(n.All<CancelAttempt>().empty());
  EXPECT_TRUE(n.All<CheckHealth>().empty());
}

// ---- Drains are kept ----

TEST(DrainsKept, NothingNewGoesToADrainingOrGoneReplica) {
  for (const EndpointState phase : {EndpointState::kDraining, EndpointState::kRemoved}) {
    Node n(BasicSettings());
    n.List({Ready(1), Ready(2)});
    Endpoint e = Ready(1);
    e.state = phase;
    n.List({e}, EndpointListScope::kDelta);
    for (int i = 0; i < 20; ++i) {
      const RequestId id = n.Ask();
      for (const SendAttempt& s : n.Sends(id)) EXPECT_EQ(s.replica, 2u);
      if (!n.Sends(id).empty()) n.Serve(id);
      n.Pass(20 * kMs);
    }
  }
}

TEST(DrainsKept, AbsentFromACompleteListIsGone) {
  Node n(BasicSettings());
  n.List({Ready(1), Ready(2)});
  n.List({Ready(2)});
  for (int i = 0; i < 10; ++i) {
    const RequestId id = n.Ask();
    ASSERT_EQ(n.Sends(id).size(), 1u);
    EXPECT_EQ(n.Sends(id)[0].replica, 2u);
    n.Serve(id);
  }
}

TEST(DrainsKept, RequestsHeldOrOutAtADrainGoElsewhere) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  const RequestId out = n.Ask();
  Endpoint draining = Ready(1);
  draining.state = EndpointState::kDraining;
  n.List({draining}, EndpointListScope::kDelta);
  const RequestId held = n.Ask();
  EXPECT_TRUE(n.Sends(held).empty());
  n.End(out, 0, Outcome::kReset, false, 5 * kMs);
  n.List({Ready(2)}, EndpointListScope::kDelta);
  ASSERT_EQ(n.Sends(held).size(), 1u);
  EXPECT_EQ(n.Sends(held)[0].replica, 2u);
  ASSERT_EQ(n.Sends(out).size(), 2u);
  EXPECT_EQ(n.Sends(out)[1].replica, 2u);
}

TEST(DrainsKept, ARestartIsReadyAgainWithAFreshStart) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  Endpoint e = Ready(1);
  e.state = EndpointState::kRemoved;
  n.List({e}, EndpointListScope::kDelta);
  n.Pass(kSecond);
  e.state = EndpointState::kReady;
  e.started_at = n.now;
  n.List({e}, EndpointListScope::kDelta);
  n.Pass(30 * kSecond);
  EXPECT_EQ(n.Sends(n.Ask()).size(), 1u);
}

// ---- A cold replica is not pushed over ----

TEST(ColdStart, ManyNodesTogetherStayWithinWhatAColdReplicaCanTake) {
  constexpr int kNodes = 60;
  constexpr int kWarm = 20;
  Settings s = BasicSettings();
  s.node_count = kNodes;
  int to_cold = 0, to_all = 0;
  for (int node = 0; node < kNodes; ++node) {
    Node n(s, static_cast<std::uint64_t>(node) + 1);
    n.List(Fleet(kWarm));
    std::vector<RequestId> ids;
    const auto traffic = [&](Time span, bool count) {
      for (Time at = 0; at < span; at += 250 * kMs) {
        n.Pass(250 * kMs);
        const RequestId id = n.Ask();
        if (n.Sends(id).empty()) continue;
        if (count) {
          ++to_all;
          to_cold += n.Sends(id)[0].replica == 999 ? 1 : 0;
        }
        n.Serve(id, 0, 200 * kMs);
      }
    };
    traffic(10 * kSecond, false);
    Endpoint cold = Ready(999);
    cold.started_at = n.now;
    n.List({cold}, EndpointListScope::kDelta);
    traffic(3 * kSecond, true);
  }
  // A warm replica has a 21st part. The cold one starts at a tenth of its capacity and may get no more than
  // about that share of what a warm one gets, with room for chance.
  const double warm_part = static_cast<double>(to_all) / (kWarm + 1);
  EXPECT_GT(to_all, kNodes * 10);
  EXPECT_LT(to_cold, 0.5 * warm_part);
}

// ---- Discovery ----

TEST(Discovery, SubscribesWithinTheSpanAndNotInStep) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  std::set<Time> times;
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Node n(s, seed);
    const Time start = n.now;
    n.List({Ready(1)}, EndpointListScope::kCached);
    while (n.All<WatchEndpoints>().empty() && n.now < start + 10 * kSecond) n.Pass(50 * kMs);
    ASSERT_EQ(n.All<WatchEndpoints>().size(), 1u);
    EXPECT_LT(n.now, start + 1100 * kMs);
    times.insert((n.now - start) / (100 * kMs));
  }
  EXPECT_GE(times.size(), 6u);
}

TEST(Discovery, ABrokenSubscriptionKeepsTheListAndIsRenewed) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  Node n(s);
  n.List({Ready(1)}, EndpointListScope::kCached);
  n.Pass(9 * kSecond);
  const std::size_t asked = n.All<WatchEndpoints>().size();
  n.List({}, EndpointListScope::kFailed);
  EXPECT_EQ(n.Sends(n.Ask()).size(), 1u);
  n.Pass(9 * kSecond);
  EXPECT_EQ(n.All<WatchEndpoints>().size(), asked + 1);
}

// A list known at the start may be old, and what it lacks counts as told before long.
TEST(Discovery, TheFirstListIsAskedForWithinASecond) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Node n(s, seed);
    n.List({Ready(1)}, EndpointListScope::kCached);
    n.Pass(1 * kSecond);
    EXPECT_EQ(n.All<WatchEndpoints>().size(), 1u);
  }
}

// A change counts as told at the latest 6 s after discovery has it and can be reached, however long it was
// down.
TEST(Discovery, AnOutageOfAnyLengthIsFollowedByACallSoon) {
  Settings s = BasicSettings();
  s.poll_endpoints = true;
  s.max_poll_interval = 10 * kSecond;
  for (std::uint64_t seed = 0; seed < 20; ++seed) {
    Node n(s, seed);
    n.List({Ready(1)}, EndpointListScope::kCached);
    n.Pass(1 * kSecond);
    for (int failure = 0; failure < 30; ++failure) {
      const std::size_t asked = n.All<WatchEndpoints>().size();
      n.List({}, EndpointListScope::kFailed);
      n.Pass(3 * kSecond);
      ASSERT_EQ(n.All<WatchEndpoints>().size(), asked + 1);
    }
  }
}

TEST(Discovery, PushModeAsksNothing) {
  Node n(BasicSettings());
  n.List({Ready(1)}, EndpointListScope::kCached);
  n.Pass(60 * kSecond);
  EXPECT_TRUE(n.All<WatchEndpoints>().empty());
  EXPECT_TRUE(n.All<PollEndpoints>().empty());
}

// ---- Same events, same actions; wrong calls do no harm ----

std::vector<Action> Script(std::uint64_t seed, Node* beside = nullptr) {
  Node n(BasicSettings(), seed);
  n.List({Ready(3), Ready(1), Ready(2)});
  for (int i = 0; i < 60; ++i) {
    if (beside != nullptr) {  // another node in the process, with troubles of its own
      beside->List({Ready(1), Ready(static_cast<ReplicaId>(9 + i))});
      const RequestId other = beside->Ask(2 * kSecond, 900, 77);
      if (!beside->Sends(other).empty()) beside->End(other, 0, Outcome::kReset, false, 5 * kMs);
      beside->Pass(40 * kMs);
    }
    const RequestId id = n.Ask(2 * kSecond, 100.0 * (1 + i % 7), static_cast<std::uint64_t>(i % 5));
    n.Pass(30 * kMs);
    if (i % 3 != 0 && !n.Sends(id).empty()) {
      n.End(id, 0, i % 4 == 0 ? Outcome::kError : Outcome::kServed, i % 4 != 0, 30 * kMs);
    }
  }
  n.Pass(10 * kSecond);
  return n.log;
}

TEST(Determinism, IdenticalEventsGiveIdenticalActions) {
  const auto text = [](const std::vector<Action>& log) {
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
  EXPECT_EQ(text(Script(5)), text(Script(5)));
  Node beside(BasicSettings(), 6);
  EXPECT_EQ(text(Script(5)), text(Script(5, &beside)));
  EXPECT_FALSE(Script(5).empty());
}

TEST(WrongCalls, AreIgnored) {
  Node n(BasicSettings());
  n.List({Ready(1)});
  n.Give(ResponseStarted{99, 0, 1, 5});
  n.Give(AttemptEnded{99, 0, 1, Outcome::kServed, 5, true, 0, {}});
  n.Give(ClientDisconnected{99});
  n.Give(TimerFired{12345});
  n.Give(HealthCheckCompleted{77, Outcome::kServed, 5, {1, 2, 3}});
  const RequestId id = n.Ask();
  n.Give(AttemptEnded{id, 7, 1, Outcome::kServed, 5, true, 0, {}});
  n.Give(AttemptEnded{id, -1, 1, Outcome::kServed, 5, true, 0, {}});
  EXPECT_EQ(n.router.in_flight(1), 1);
  RequestArrived again;
  again.id = id;
  again.class_index = 55;
  again.tenant_index = -3;
  again.time_budget = kSecond;
  n.Give(again);
  EXPECT_EQ(n.router.open_requests(), 1u);
  n.Serve(id);
  n.Give(AttemptEnded{id, 0, 1, Outcome::kServed, 5, true, 0, {}});
  EXPECT_EQ(n.router.in_flight(1), 0);
  EXPECT_EQ(n.router.open_requests(), 0u);
  n.now -= 50 * kSecond;  // time that steps back is held still
  EXPECT_EQ(n.Sends(n.Ask()).size(), 1u);
}

// Caps keep their sum over all nodes when the tier grows or shrinks.
// What one process learned serves the next as if it had learned it itself; of a replica that has started
// again since, nothing holds.
TEST(Inherited, ANewProcessDecidesByWhatTheOldOneLearned) {
  Node old(BasicSettings());
  old.List(Fleet(4));
  for (int i = 0; i < 60; ++i) old.Serve(old.Ask(), 0, (i % 4 + 1) * 400 * kMs);
  const RequestId out = old.Ask();
  for (int i = 0; i < 2; ++i) {
    const RequestId id = old.Ask();
    const ReplicaId to = old.Sends(id).at(0).replica;
    old.End(id, 0, Outcome::kConnectFailed, false);
    EXPECT_GT(old.router.ejected_until(to), old.now);
  }
  auto learned = std::make_shared<LearnedState>(old.router.ExportState());
  Node young(BasicSettings());
  young.now = old.now;
  young.List(Fleet(4));
  const double before = young.router.total_concurrency_limit();
  young.Give(StateRestored{learned});
  young.Ask();  // caps are looked at when something is to be sent
  EXPECT_NE(young.router.total_concurrency_limit(), before);
  std::size_t resting = 0;
  for (ReplicaId r = 0; r < 4; ++r) {
    EXPECT_EQ(young.router.ejected_until(r), old.router.ejected_until(r));
    resting += young.router.ejected_until(r) > young.now ? 1 : 0;
  }
  EXPECT_GT(resting, 0U);
  EXPECT_FALSE(old.Sends(out).empty());
  // Started again: it is as if never met.
  Node other(BasicSettings());
  other.now = old.now;
  std::vector<Endpoint> fleet = Fleet(4);
  for (Endpoint& e : fleet) e.started_at = old.now - kSecond;
  other.List(fleet);
  other.Give(StateRestored{learned});
  for (ReplicaId r = 0; r < 4; ++r) EXPECT_EQ(other.router.ejected_until(r), 0);
  other.Give(StateRestored{nullptr});
}

// What the other process of a node still has out takes room here, until it is said to be gone.
TEST(SiblingInFlightChanged, CountsAgainstTheCaps) {
  Node n(BasicSettings());
  n.List(Fleet(1));
  n.Give(SiblingInFlightChanged{{{0, 1000}}});
  const RequestId id = n.Ask();
  EXPECT_TRUE(n.Sends(id).empty());
  n.Give(SiblingInFlightChanged{{{0, -5}, {77, 3}}});  // nonsense counts for nothing
  EXPECT_EQ(n.Sends(id).size(), 1U);
  n.Serve(id);
  n.Give(SiblingInFlightChanged{{{0, 1000}}});
  n.List({}, EndpointListScope::kFull);  // the replica goes, and what was out there with it
  n.List(Fleet(2));
  const RequestId next = n.Ask();
  EXPECT_EQ(n.Sends(next).size(), 1U);
}

TEST(TierSizes, ShareTheCapsAnewAndKeepWhatIsOut) {
  Settings s = BasicSettings();
  s.node_count = 2;
  Node n(s);
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  ASSERT_EQ(n.Sends(id).size(), 1u);
  const double before = n.router.total_concurrency_limit();
  n.Give(NodeCountChanged{8});
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before / 4, before / 40);
  n.Give(NodeCountChanged{2});
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before, before / 10);
  n.Give(NodeCountChanged{0});  // there is always this one
  n.Give(NodeCountChanged{1});
  EXPECT_EQ(n.Finals(id), 0u);
  n.Serve(id);
  EXPECT_EQ(n.router.in_flight(n.Sends(id)[0].replica), 0);
}

TEST(TierShares, AMuchSmallerPartLowersTheCapsAndALargerOneLeavesThemToBeLearned) {
  Settings s = BasicSettings();
  s.node_count = 4;
  Node n(s);
  n.List({Ready(1), Ready(2)});
  const RequestId id = n.Ask();
  const double before = n.router.total_concurrency_limit();
  n.Give(TrafficShareChanged{0.24});  // hardly less: answers teach that
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before, before / 50);
  n.Give(TrafficShareChanged{0.125});
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before / 2, before / 20);
  n.Give(TrafficShareChanged{0.5});
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before / 2, before / 20);
  for (const double wrong : {0.0, -1.0, 2.0, std::nan("")}) n.Give(TrafficShareChanged{wrong});
  n.Ask();
  EXPECT_NEAR(n.router.total_concurrency_limit(), before / 2, before / 20);
  EXPECT_EQ(n.Finals(id), 0u);
}

TEST(WrongCalls, UnknownClassTenantAndKindAreTaken) {
  Node n(BasicSettings());
  Endpoint e = Ready(1);
  e.kind = 900;
  e.zone = 77;
  n.List({e});
  RequestArrived r;
  r.id = 1;
  r.class_index = 200;
  r.tenant_index = 4'000'000;
  r.time_budget = kSecond;
  n.Give(r);
  ASSERT_EQ(n.Sends(1).size(), 1u);
  n.Serve(1);
  EXPECT_EQ(n.router.open_requests(), 0u);
}

// ---- Time that is cut short ----

TEST(DeadlineShortened, ARequestThatIsHeldIsRefusedWithinIt) {
  Node n(WithEffect(Idempotency::kNotIdempotent));
  const RequestId id = n.Ask(8 * kSecond);
  n.Give(DeadlineShortened{id, 500 * kMs});
  n.Pass(400 * kMs);
  EXPECT_EQ(n.Finals(id), 0u);
  n.Pass(100 * kMs);
  EXPECT_EQ(n.Of<RejectRequest>(id).size(), 1u);
  EXPECT_EQ(n.router.open_requests(), 0u);
}

TEST(DeadlineShortened, AtZeroAnAttemptThatIsOutIsTheLastAndSaysWhatMayBeTold) {
  struct Row {
    Idempotency effect;
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
      Node n(WithEffect(row.effect, row.scope));
      n.List(Fleet(3));
      const RequestId id = n.Ask(8 * kSecond);
      ASSERT_EQ(n.Sends(id).size(), 1u);
      EXPECT_EQ(n.router.may_reject(id), row.may_reject);
      n.Give(DeadlineShortened{id, 0});
      EXPECT_EQ(n.Finals(id), 0u);  // an attempt is out
      n.End(id, 0, outcome, false);
      EXPECT_EQ(n.Sends(id).size(), 1u);
      const bool never_ran = outcome == Outcome::kConnectFailed || outcome == Outcome::kNotSent;
      EXPECT_EQ(n.Of<RejectRequest>(id).size(), row.may_reject || never_ran ? 1u : 0u);
      EXPECT_EQ(n.Finals(id), 1u);
    }
  }
}

TEST(DeadlineShortened, NeverGivesMoreTimeAndPassesOverWhatIsNotThere) {
  Node n(BasicSettings());
  const RequestId id = n.Ask(300 * kMs);
  n.Give(DeadlineShortened{id, 60 * kSecond});
  n.Give(DeadlineShortened{id + 7, 0});
  n.Give(DeadlineShortened{id, -5});
  EXPECT_EQ(n.Finals(id), 1u);
  EXPECT_FALSE(n.router.may_reject(id));  // it is over: nothing is known of it
}

TEST(NoEffectTwice, ARepeatCarriesWhatIsLeftOfTheWindow) {
  Settings s = WithEffect(Idempotency::kIdempotencyKey);
  s.classes[0].dedup_window = 2 * kSecond;
  Node n(s);
  n.List(Fleet(3));
  const RequestId id = n.Ask(8 * kSecond);
  n.Pass(700 * kMs);
  n.End(id, 0, Outcome::kReset, false);
  ASSERT_EQ(n.Sends(id).size(), 2u);
  EXPECT_EQ(n.Sends(id)[0].write_within, 0);
  // 1.3 s are left, less 0.16 s: the node may be held up for 0.15 s between its clock and the write.
  EXPECT_EQ(n.Sends(id)[1].write_within, 1140 * kMs);
  n.End(id, 1, Outcome::kConnectFailed, false);  // never ran: the window is still the first one's
  ASSERT_EQ(n.Sends(id).size(), 3u);
  EXPECT_EQ(n.Sends(id)[2].write_within, 1140 * kMs);
}

TEST(NoEffectTwice, NoRepeatIsDecidedWithinAHoldUpOfTheWindowsEnd) {
  for (const Time left : {100 * kMs, 150 * kMs}) {
    Settings s = WithEffect(Idempotency::kIdempotencyKey);
    s.classes[0].dedup_window = 2 * kSecond;
    Node n(s);
    n.List(Fleet(3));
    const RequestId id = n.Ask(8 * kSecond);
    n.Pass(2 * kSecond - left);
    n.End(id, 0, Outcome::kReset, false);
    EXPECT_EQ(n.Sends(id).size(), 1U) << left;
  }
}

// Lists may name zones that the settings do not, and leave cells out: such replicas may be apart.
TEST(NoEffectTwice, KeyedIsNotRepeatedWhereTheGroupIsNotKnown) {
  for (const DedupScope scope : {DedupScope::kZone, DedupScope::kCell}) {
    Settings s = WithEffect(Idempotency::kIdempotencyKey);
    s.classes[0].dedup_scope = scope;
    Node n(s);
    std::vector<Endpoint> fleet = Fleet(3);
    for (Endpoint& e : fleet) e.zone = e.cell = -1;
    n.List(fleet);
    const RequestId id = n.Ask(8 * kSecond);
    n.End(id, 0, Outcome::kReset, false);
    EXPECT_EQ(n.Sends(id).size(), 1U);
  }
}

}  // namespace
}  // namespace ryeglade::policy::test
