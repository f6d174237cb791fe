// The deciding parts of hand-over and rollout: leases and succession, what passes between processes, keepers,
// plans, verdicts, and whole rollouts in virtual time with the invariants and broken variants that catch
// them.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <set>

#include "core/learned_state_codec.h"
#include "hot_restart/handover_state_codec.h"
#include "hot_restart/hot_restart_policy.h"
#include "lab/rollout/explorer.h"
#include "lab/rollout/simulation.h"
#include "rollout/cluster_view_model.h"
#include "rollout/plan.h"
#include "rollout/report_model.h"
#include "settings/toml_reader.h"

namespace ryeglade {
namespace {

using namespace hot_restart;
using rollout::KeeperAct;

constexpr Time kS = 1'000'000;

// ---- Two processes of one node ----

struct Pair {
  // Both processes, each seeing what the other said last; either may be dead or stopped.
  struct One {
    std::optional<HotRestartPolicy> s;
    bool dead = false, stopped = false, taking = false, given = false;
    Lease lease;
  };
  Time now = 1000 * kS;
  One old, young;

  Pair() {
    old.s.emplace(now, false);
    old.taking = true;
    Say(old, 1);
  }
  void StartYoung() {
    now += kS;
    young.s.emplace(now, !old.dead);
    Say(young, 2);
  }
  void Say(One& o, std::int64_t pid) {
    o.lease.pid = pid;
    o.lease.started_at = o.s->started_at();
    o.lease.phase = o.s->phase();
    ++o.lease.heartbeat;
  }
  static Sibling Seen(const One& o) {
    if (!o.s || o.dead) return {};
    return {true, o.lease};
  }
  void Take(One& o, const Actions& actions, One& other) {
    if (actions.send_state) other.given = true;
    if (actions.start_serving || actions.resume_clients) o.taking = true;
    if (actions.hand_over_clients) o.taking = false;
  }
  void Pass(Time span) {
    for (const Time end = now + span; now < end; now += 50'000) {
      for (One* o : {&old, &young}) {
        One& other = o == &old ? young : old;
        if (!o->s || o->dead || o->stopped) continue;
        if (o->given && o->s->phase() == Phase::kStarting) Take(*o, o->s->OnStateReceived(), other);
        Take(*o, o->s->Update(now, Seen(other)), other);
        Say(*o, o == &old ? 1 : 2);
      }
    }
  }
};

TEST(HotRestartPolicy, TheYoungOneIsGivenTheStateServesAndTheOldOneYields) {
  Pair p;
  p.StartYoung();
  EXPECT_FALSE(p.young.taking);
  p.Pass(kS);
  EXPECT_TRUE(p.young.taking);
  EXPECT_FALSE(p.old.taking);
  EXPECT_TRUE(p.young.given);
}

TEST(HotRestartPolicy, AYoungOneThatDiesHangsOrEndsLeavesTheOldOneServing) {
  for (int how = 0; how < 4; ++how) {
    Pair p;
    p.StartYoung();
    if (how > 0) p.Pass(kS);
    if (how == 0 || how == 1) p.young.dead = true;
    if (how == 2) p.young.stopped = true;
    if (how == 3) p.Take(p.young, p.young.s->OnTerminate(Pair::Seen(p.old)), p.old), p.Say(p.young, 2);
    p.Pass(4 * kS);
    EXPECT_TRUE(p.old.taking) << how;
    if (how != 2) continue;
    p.young.stopped = false;  // it wakes: the old one yields again
    p.Pass(kS);
    EXPECT_TRUE(p.young.taking);
    EXPECT_FALSE(p.old.taking);
  }
}

TEST(HotRestartPolicy, AnOldOneThatGivesNothingOrDiesIsNotWaitedForForLong) {
  for (const bool dies : {false, true}) {
    Pair p;
    p.StartYoung();
    (dies ? p.old.dead : p.old.stopped) = true;
    p.Pass(2 * kS);
    EXPECT_TRUE(p.young.taking);
  }
}

// Whatever happens to either, in whatever order: as long as one lives and turns, one takes clients soon
// after.
RC_GTEST_PROP(HotRestartPolicy, SomebodyServes, (const std::vector<unsigned char>& deeds)) {
  Pair p;
  bool started = false;
  for (const unsigned char d : deeds) {
    switch (d % 7) {
      case 0:
        if (!started) p.StartYoung();
        started = true;
        break;
      case 1:
        if (started && !p.old.dead) p.young.dead = true;
        break;
      case 2:
        if (started && !p.young.dead && p.young.taking) p.old.dead = true;
        break;
      case 3:
        p.young.stopped = !p.young.stopped;
        break;
      default:
        p.Pass(200'000 * (d % 16));
    }
  }
  p.young.stopped = false;
  p.Pass(5 * kS);
  RC_ASSERT((p.old.taking && !p.old.dead) || (p.young.taking && !p.young.dead));
}

TEST(HotRestartPolicy, SharesStayWithinTheWhole) {
  const std::size_t total = 800;
  // The older one leaves half before the new one serves, then never takes more than it uses.
  ShareRequest older{
      .total = total, .used = 100, .current_share = total, .is_older = true, .sibling_alive = true};
  const std::size_t older_share = ComputeShare(older);
  EXPECT_EQ(older_share, 400U);
  ShareRequest newer{
      .total = total, .current_share = total, .sibling_share = older_share, .sibling_alive = true};
  const std::size_t newer_share = ComputeShare(newer);
  EXPECT_EQ(older_share + newer_share, total);
  older.used = 300;
  older.current_share = older_share;
  older.sibling_share = newer_share;
  older.handed_over = true;
  const std::size_t share_after_handover = ComputeShare(older);
  EXPECT_EQ(share_after_handover, 300U);
  older.used = 500;
  older.current_share = share_after_handover;
  EXPECT_EQ(ComputeShare(older), 300U);
  newer.current_share = newer_share;
  newer.sibling_share = share_after_handover;
  EXPECT_EQ(ComputeShare(newer), 500U);
  const ShareRequest without_sibling{
      .total = total, .current_share = share_after_handover, .is_older = true, .handed_over = true};
  EXPECT_EQ(ComputeShare(without_sibling), total);
}

TEST(Lease, IsReadBackAndATornOneIsNot) {
  const Lease l{7, 5 * kS, Phase::kDraining, 9, 100, 200};
  const std::string text = EncodeLease(l);
  const auto back = DecodeLease(text);
  ASSERT_TRUE(back);
  EXPECT_EQ(back->pid, 7);
  EXPECT_EQ(back->phase, Phase::kDraining);
  EXPECT_EQ(back->socket_limit, 100U);
  for (std::size_t n = 0; n + 1 < text.size(); ++n) EXPECT_FALSE(DecodeLease(text.substr(0, n))) << n;
  std::string bent = text;
  bent[20] ^= 1;
  EXPECT_FALSE(DecodeLease(bent));
}

// ---- What passes ----

HandoverState SomeState() {
  HandoverState s;
  s.node = "n0", s.program = "0.2.0", s.discovery = "127.0.0.1:1", s.roster = "{}";
  s.classes = {"docs", "agent"};
  s.learned.base_limit = 3.25;
  s.learned.runtime_by_bucket[5] = {1000, 7};
  s.learned.key_traffic[99].long_term.Add(10, 100, 1);
  s.learned.cached_prefixes[4] = {200, 5};
  s.learned.runtime_per_hint.resize(2);
  s.learned.replicas.push_back({17, 4, 2, {}});
  s.learned.replicas[0].learned.slowness = 0.5;
  return s;
}

TEST(HandOverState, IsReadBackByWhomItIsForOnly) {
  const std::string text = EncodeHandoverState(SomeState(), 42);
  std::string why;
  const auto s = DecodeHandoverState(text, 42, "n0", &why);
  ASSERT_TRUE(s) << why;
  EXPECT_EQ(s->learned.base_limit, 3.25);
  EXPECT_EQ(s->learned.runtime_by_bucket.at(5).mean, 1000);
  EXPECT_EQ(s->learned.replicas.at(0).in_flight, 2);
  EXPECT_EQ(s->learned.replicas.at(0).learned.slowness, 0.5);
  EXPECT_FALSE(DecodeHandoverState(text, 43, "n0", &why));
  EXPECT_FALSE(DecodeHandoverState(text, 42, "n1", &why));
  EXPECT_EQ(why, "of another node");
  std::string newer = text;
  newer.replace(newer.find(" 1 "), 3, " 2 ");
  EXPECT_FALSE(DecodeHandoverState(newer, 42, "n0", &why));
  EXPECT_EQ(why, "of another major version");
  EXPECT_FALSE(DecodeHandoverState(text.substr(0, text.size() - 3), 42, "n0", &why));
}

RC_GTEST_PROP(HandOverState, BentBytesAreNeverTaken, (std::size_t at, unsigned char with)) {
  std::string text = EncodeHandoverState(SomeState(), 42), why;
  const std::size_t i = at % text.size();
  const char before = text[i];
  text[i] = static_cast<char>(with);
  RC_PRE(text[i] != before);
  RC_ASSERT(!DecodeHandoverState(text, 42, "n0", &why).has_value());
}

TEST(HandOverState, OtherClassesTakeWithThemWhatWasLearnedByClass) {
  HandoverState s = SomeState();
  DropMismatchedClasses({"docs", "agent"}, &s);
  EXPECT_EQ(s.learned.runtime_by_bucket.size(), 1U);
  DropMismatchedClasses({"docs"}, &s);
  EXPECT_TRUE(s.learned.runtime_by_bucket.empty());
  EXPECT_EQ(s.learned.base_limit, 3.25);
}

TEST(Learned, NumbersOutOfAllBoundsAreNotTaken) {
  for (int k = 0; k < 5; ++k) {
    policy::LearnedState l = SomeState().learned;
    if (k == 0) l.base_limit = std::nan("");
    if (k == 1) l.base_limit = -1;
    if (k == 2) l.replicas[0].in_flight = -3;
    if (k == 3) l.runtime_by_bucket[5].samples = -1;
    if (k == 4) l.node_count = 0;
    std::string why;
    EXPECT_FALSE(DecodeLearnedState(EncodeLearnedState(l), &why)) << k;
    EXPECT_FALSE(why.empty());
  }
  std::string why;
  EXPECT_TRUE(DecodeLearnedState(EncodeLearnedState(SomeState().learned), &why)) << why;
}

// ---- The keeper ----

struct Kept {
  rollout::KeeperLimits limits;
  std::unique_ptr<rollout::Keeper> k;
  Time now = 100 * kS;
  std::vector<KeeperAct> acts;

  Kept() {
    rollout::KeeperMemory m;
    m.in_force = m.last_good = {"old", "/old", "/c", "", "", "", ""};
    k = std::make_unique<rollout::Keeper>("n0", "a", limits, m);
    k->Begin(now, false, false, false, acts);
    k->Ready(now, k->current(), acts);
    acts.clear();
  }
  rollout::Command Cmd(rollout::Command::What what, std::uint64_t epoch = 1,
                       const std::string& driver = "d") {
    rollout::Command c;
    c.what = what, c.epoch = epoch, c.driver = driver, c.plan = "p";
    c.release = {"new", "/new", "/c", "", "", "", ""};
    return c;
  }
  rollout::Reply Take(rollout::Command::What what, std::uint64_t epoch = 1, const std::string& driver = "d") {
    acts.clear();
    return k->Take(now, Cmd(what, epoch, driver), acts);
  }
  int Starts() const {
    int n = 0;
    for (const auto& a : acts) n += a.what == KeeperAct::What::kStart ? 1 : 0;
    return n;
  }
};
using What = rollout::Command::What;

TEST(Keeper, TakesNoCommandWithoutAFreshClaimOfTheHighestEpoch) {
  Kept t;
  EXPECT_EQ(t.Take(What::kChange).why, "claim-first");
  EXPECT_TRUE(t.Take(What::kClaim, 5).yes);
  EXPECT_EQ(t.Take(What::kChange, 4).why, "stale");
  EXPECT_EQ(t.Take(What::kChange, 5, "other").why, "stale");
  EXPECT_EQ(t.Take(What::kClaim, 4).why, "stale");
  t.now += t.limits.lease + 1;
  EXPECT_EQ(t.Take(What::kChange, 5).why, "lease");
  EXPECT_TRUE(t.Take(What::kClaim, 5).yes);
  EXPECT_TRUE(t.Take(What::kChange, 5).yes);
  EXPECT_EQ(t.Starts(), 1);
}

TEST(Keeper, AStepAskedTwiceIsDoneOnce) {
  Kept t;
  t.Take(What::kClaim);
  EXPECT_TRUE(t.Take(What::kChange).yes);
  EXPECT_EQ(t.Starts(), 1);
  EXPECT_TRUE(t.Take(What::kChange).yes);
  EXPECT_EQ(t.Starts(), 0);
  t.k->Ready(t.now, t.k->next(), t.acts);
  EXPECT_EQ(t.k->Status().in_force.id, "new");
  EXPECT_TRUE(t.Take(What::kChange).yes);
  EXPECT_EQ(t.Starts(), 0);
}

TEST(Keeper, ANewReleaseThatNeverGetsReadyIsGivenUpAndTheOldOneServesOn) {
  Kept t;
  t.Take(What::kClaim);
  t.Take(What::kChange);
  const int current = t.k->current();
  int starts = 1;
  for (int i = 0; i < 1000; ++i) {
    t.now += 100'000;
    t.acts.clear();
    t.k->Tick(t.now, t.acts);
    starts += t.Starts();
  }
  EXPECT_EQ(starts, t.limits.tries);
  EXPECT_EQ(t.k->current(), current);
  EXPECT_EQ(t.k->Status().failed, "new");
  EXPECT_EQ(t.k->Status().failed_why, "never-ready");
  t.Take(What::kClaim);
  EXPECT_EQ(t.Take(What::kChange).why, "failed-before");
}

TEST(Keeper, OneThatCrashLoopsIsReplacedByTheLastGoodOneWithoutADriver) {
  Kept t;
  t.Take(What::kClaim);
  t.Take(What::kChange);
  t.k->Ready(t.now, t.k->next(), t.acts);
  for (int i = 0; i < 200 && t.k->Status().in_force.id == "new"; ++i) {
    t.now += 500'000;
    t.acts.clear();
    t.k->Tick(t.now, t.acts);
    if (t.k->current() != 0) t.k->Ended(t.now, t.k->current(), "signal 6", t.acts);
  }
  EXPECT_EQ(t.k->Status().in_force.id, "old");
  EXPECT_EQ(t.k->Status().failed, "new");
  EXPECT_NE(t.k->current(), 0);
}

TEST(Keeper, RemembersAcrossItsOwnDeathAndNeverStartsASecondNode) {
  Kept t;
  t.Take(What::kClaim, 9);
  t.Take(What::kChange, 9);
  t.k->Started(t.k->next(), {77, 5, "m"}, t.acts);
  const auto memory = rollout::DecodeMemory(rollout::EncodeMemory(t.k->memory()));
  ASSERT_TRUE(memory);
  EXPECT_EQ(memory->next.pid, 77);
  rollout::Keeper after("n0", "a", t.limits, *memory);
  std::vector<KeeperAct> acts;
  after.Begin(t.now, true, true, false, acts);  // both live: the one that was being tried goes
  int starts = 0, kills = 0;
  for (const auto& a : acts) {
    starts += a.what == KeeperAct::What::kStart ? 1 : 0;
    kills += a.what == KeeperAct::What::kKill ? 1 : 0;
  }
  EXPECT_EQ(starts, 0);
  EXPECT_EQ(kills, 1);
  EXPECT_EQ(after.Status().epoch, 9U);
  rollout::Keeper alone("n0", "a", t.limits, *memory);
  acts.clear();
  alone.Begin(t.now, false, true, false, acts);  // only it lives: it is the node
  EXPECT_EQ(alone.Status().in_force.id, "new");
  for (const auto& a : acts) EXPECT_EQ(a.what, KeeperAct::What::kSave);
}

// ---- Plans, figures, compatibility ----

const std::string kPlan =
    "name = \"x\"\n[release]\nid = \"r\"\nprogram = \"/p\"\n[[node]]\nname = \"a\"\nkeeper = "
    "\"127.0.0.1:1\"\n"
    "[[node]]\nname = \"b\"\nkeeper = \"127.0.0.1:2\"\n[[node]]\nname = \"c\"\nkeeper = \"127.0.0.1:3\"\n";

TEST(Plan, StagesAreDrawnInOrder) {
  const auto plan = rollout::ParsePlan(
      "p.toml", kPlan + "[[stage]]\ncount = 1\n[[stage]]\nnodes = [\"c\"]\n[[stage]]\nsoak = \"5s\"\n");
  ASSERT_EQ(plan.stages.size(), 3U);
  EXPECT_EQ(plan.stages[0].nodes, std::vector<std::string>{"a"});
  EXPECT_EQ(plan.stages[1].nodes, std::vector<std::string>{"c"});
  EXPECT_EQ(plan.stages[2].nodes, std::vector<std::string>{"b"});
  EXPECT_EQ(plan.stages[2].soak, 5 * kS);
}

TEST(Plan, WhatIsWrongNamesFileKeyAndRemedy) {
  const std::vector<std::pair<std::string, std::string>> wrong = {
      {kPlan, "[[stage]]"},
      {kPlan + "[[stage]]\ncount = 1\n", "leaves out"},
      {kPlan + "[[stage]]\nnodes = [\"z\"]\n", "none of [[node]]"},
      {kPlan + "[[stage]]\ncount = 1\nshare = 0.5\n[[stage]]\n", "one of the three"},
      {kPlan + "[[stage]]\nsoak = 5\n", "soak"},
      {kPlan + "[[stage]]\n[[stage]]\n", "no node is left"},
      {kPlan + "[[stage]]\n[guards]\nfaild = 1\n", "faild"},
      {"name = \"x\"\n[release]\nid = \"r\"\n", "nothing would change"}};
  for (const auto& [text, want] : wrong) {
    try {
      rollout::ParsePlan("p.toml", text);
      ADD_FAILURE() << text;
    } catch (const SettingsError& e) {
      EXPECT_NE(std::string(e.what()).find(want), std::string::npos) << e.what();
      EXPECT_NE(std::string(e.what()).find("p.toml"), std::string::npos) << e.what();
    }
  }
}

TEST(Figures, WrongOnesAreNone) {
  rollout::Figures f;
  f.pid = 3, f.at = 1'796'000'000'000'000;
  f.classes["docs"].served = 5;
  f.classes["docs"].in_time = 4;
  EXPECT_TRUE(rollout::DecodeFigures(rollout::EncodeFigures(f)));
  f.classes["docs"].in_time = 6;
  EXPECT_FALSE(rollout::DecodeFigures(rollout::EncodeFigures(f)));
  EXPECT_FALSE(rollout::DecodeFigures("{\"pid\":-1,\"classes\":{}}"));
  EXPECT_FALSE(rollout::DecodeFigures("nonsense"));
}

TEST(Compat, ProgramsWhoseRangesDoNotMeetCannotStandSideBySide) {
  const auto with = [](int low, int high) {
    return "{\"membership-wire\":[" + std::to_string(low) + "," + std::to_string(high) + "]}";
  };
  EXPECT_EQ(rollout::CannotStandBeside(with(1, 2), with(2, 3)), "");
  EXPECT_NE(rollout::CannotStandBeside(with(1, 2), with(3, 4)), "");
  EXPECT_NE(rollout::CannotStandBeside("old and silent", with(1, 2)), "");
  EXPECT_EQ(rollout::CannotStandBeside("{}", with(1, 2)), "");
}

// ---- Whole rollouts in virtual time ----

rollout_lab::WorldSpec Small() {
  rollout_lab::WorldSpec s;
  s.nodes = 8;
  s.stages = {1, 2};
  s.soak = 10;
  s.requests = 100;
  s.length = 1500;
  return s;
}

TEST(RolloutWorld, WhateverDiesItEndsAndNothingIsBroken) {
  const auto set = [](auto change) {
    rollout_lab::WorldSpec s = Small();
    change(s);
    return rollout_lab::PlayAll(s, 20, 4);
  };
  for (const auto& r : {set([](auto& s) { s.kill_driver = 0.003, s.lost = 0.2; }),
                        set([](auto& s) { s.two_drivers = true, s.lost = 0.1; }),
                        set([](auto& s) { s.pause_driver = 0.02, s.two_drivers = true; }),
                        set([](auto& s) { s.kill_keeper = 0.005, s.kill_driver = 0.002, s.lost = 0.1; })}) {
    EXPECT_TRUE(r.broken.empty()) << r.broken.front();
    EXPECT_EQ(r.done, r.runs);
  }
}

TEST(RolloutWorld, ABadReleaseIsStoppedAndAGoodOneIsNot) {
  rollout_lab::WorldSpec s;
  s.length = 900;
  const auto good = rollout_lab::PlayAll(s, 24, 4);
  EXPECT_LE(good.stopped, 1);
  EXPECT_GE(good.done, 22);
  s.harm.failed = 0.05;
  const auto bad = rollout_lab::PlayAll(s, 24, 4);
  EXPECT_GE(bad.first_stage, 22);
  s.harm = {};
  s.harm.slower = 0.3;
  EXPECT_GE(rollout_lab::PlayAll(s, 24, 4).first_stage, 22);
}

TEST(RolloutWorld, BrokenVariantsAreCaught) {
  const auto caught = [](auto change) {
    rollout_lab::WorldSpec s = Small();
    s.length = 150;
    change(s);
    return !rollout_lab::PlayAll(s, 10, 4).broken.empty();
  };
  EXPECT_TRUE(caught(
      [](auto& s) { s.forge_epoch = true, s.two_drivers = true, s.lost = 0.1, s.pause_driver = 0.02; }));
  EXPECT_TRUE(caught([](auto& s) { s.greedy = true; }));
  EXPECT_TRUE(caught([](auto& s) { s.forgetful = true, s.kill_keeper = 0.02; }));
}

// Every course of up to so many faults. The sanitizers make each step ten times slower: one fault there.
#if defined(__SANITIZE_ADDRESS__)
constexpr int kExplored = 1;
#else
constexpr int kExplored = 2;
#endif

TEST(RolloutExplorer, NoCourseOfFaultsBreaksARule) {
  rollout_lab::RolloutExploreOptions o;
  o.faults = kExplored;
  const auto e = rollout_lab::ExploreRollout(o);
  EXPECT_TRUE(e.breaches.empty()) << e.breaches.front().invariant << ": " << e.breaches.front().what << ":"
                                  << e.breaches.front().course;
  EXPECT_GT(e.states, 10'000U);
  EXPECT_GT(e.ends.at("done"), 0U);
  EXPECT_GT(e.ends.at("back"), 0U);
}

TEST(RolloutExplorer, EachRuleIsCaughtBrokenByAVariant) {
  const auto caught = [](const char* variant, const char* invariant, int faults) {
    rollout_lab::RolloutExploreOptions o;
    o.faults = faults;
    o.variant = variant;
    return rollout_lab::ExploreRollout(o).by_invariant.contains(invariant);
  };
  EXPECT_TRUE(caught("any-epoch", "one-driver", 1));
  EXPECT_TRUE(caught("greedy", "at-once", 0));
  EXPECT_TRUE(caught("forgetful", "good-release", 1));
  if (kExplored < 2) return;
  EXPECT_TRUE(caught("no-lease", "at-once", 2));
  EXPECT_TRUE(caught("no-token", "at-once", 2));
}

TEST(Keeper, ACommandThatWasOnItsWayForLongIsRefusedThoughTheClaimWasRenewed) {
  rollout::KeeperMemory memory;
  memory.in_force = memory.last_good = {"old", "/old", "", "", "", "", ""};
  rollout::KeeperLimits limits;
  limits.lease = 2'000'000;
  rollout::Keeper keeper("n0", "", limits, memory);
  std::vector<KeeperAct> acts;
  keeper.Begin(1'000'000, false, false, false, acts);
  rollout::Command claim;
  claim.epoch = 1;
  claim.driver = "d";
  const auto first = keeper.Take(2'000'000, claim, acts);
  ASSERT_TRUE(first.yes);
  EXPECT_EQ(first.status.claimed, 2'000'000);
  rollout::Command change = claim;
  change.what = rollout::Command::What::kChange;
  change.release = {"new", "/new", "", "", "", "", ""};
  change.claim = first.status.claimed;
  ASSERT_TRUE(keeper.Take(4'500'000, claim, acts).yes);  // renewed, while `change` was on its way
  EXPECT_EQ(keeper.Take(4'600'000, change, acts).why, "lease");
  change.claim = 4'500'000;
  EXPECT_TRUE(keeper.Take(4'600'000, change, acts).yes);
  change.claim = 9'000'000;  // of no clock of this keeper's
  EXPECT_EQ(keeper.Take(4'600'000, change, acts).why, "lease");
}

// ---- What the nodes say of each other ----

rollout::TierSaid Said(const std::string& node, std::map<std::string, std::string> standings,
                       bool doubt = false) {
  return {node, true, doubt, true, std::move(standings)};
}

TEST(TierWord, TakesWhatMostOfTheSureSay) {
  const auto word = rollout::PutTogether(
      3, {Said("a", {{"b", "alive"}, {"c", "dead"}, {"d", "suspect"}}),
          Said("b", {{"a", "alive"}, {"c", "dead"}, {"d", "alive"}}),
          Said("e", {{"a", "dead"}, {"b", "dead"}, {"c", "alive"}}, true)});  // cut off, and knows that it is
  EXPECT_EQ(word.dead, (std::set<std::string>{"c"}));
  EXPECT_TRUE(word.suspect.empty());  // one says so, the other does not
  EXPECT_TRUE(word.trusted());
  EXPECT_EQ(word.sure, 2U);
  EXPECT_FALSE(rollout::PutTogether(4, {Said("a", {}), Said("b", {})}).trusted());
  EXPECT_FALSE(rollout::PutTogether(2, {Said("a", {}), Said("a", {})}).trusted());  // one node, twice
}

TEST(TierWord, OneDeafNodeTakesNobodyAway) {
  const auto word = rollout::PutTogether(
      3, {Said("deaf", {{"a", "dead"}, {"b", "dead"}}), Said("a", {{"b", "alive"}, {"deaf", "suspect"}}),
          Said("b", {{"a", "alive"}, {"deaf", "suspect"}})});
  EXPECT_TRUE(word.dead.empty());
  EXPECT_EQ(word.suspect, (std::set<std::string>{"deaf"}));
}

TEST(TierWord, AnswersThatAreNoneAreNotTaken) {
  EXPECT_FALSE(rollout::ReadTierSaid("{"));
  EXPECT_FALSE(rollout::ReadTierSaid("[]"));
  EXPECT_FALSE(rollout::ReadTierSaid(R"({"name": 3})"));
  EXPECT_FALSE(rollout::ReadTierSaid(
      R"({"name": "a", "phase": "active", "joined": true, "in_doubt": false, "settled": true, "members": 7})"));
  const auto waits = rollout::ReadTierSaid(R"({"name": "a", "phase": "waiting"})");
  ASSERT_TRUE(waits);
  EXPECT_FALSE(waits->joined);
  const auto yielded = rollout::ReadTierSaid(
      R"({"name": "a", "phase": "yielded", "joined": true, "in_doubt": false, "settled": true, "members": []})");
  ASSERT_TRUE(yielded);
  EXPECT_FALSE(yielded->joined);
}

// ---- The record ----

RC_GTEST_PROP(RolloutRecord, LinesComeBackAsTheyWereAndNoiseIsSkipped, ()) {
  rollout::RecordedRound r;
  r.at = *rc::gen::inRange(0, 1'000'000'000);
  r.course = "soak";
  r.why = *rc::gen::string<std::string>();
  r.stage = *rc::gen::inRange<std::size_t>(0, 100);
  r.nodes = {{"n0", "a", "new"}, {"n1", "b", "old"}};
  rollout::Comparison c;
  c.cls = "all", c.what = "failed", c.n_new = 12, c.difference = 0.25, c.half = 1e9;
  r.comparisons = {c};
  std::size_t skipped = 0;
  const std::string noise = *rc::gen::string<std::string>();
  std::string flat = noise;
  std::erase(flat, '\n');
  const auto all = rollout::DecodeRecord(EncodeRound(r) + flat + "\n" + EncodeRound(r), &skipped);
  RC_ASSERT(all.size() >= 2U);
  RC_ASSERT(all.front().stage == r.stage);
  RC_ASSERT(all.front().nodes.size() == 2U);
  RC_ASSERT(all.front().comparisons.front().half >= 1e6);
  RC_ASSERT(skipped <= 1U);
  RC_ASSERT(ReportTable(all).find("soak") != std::string::npos);
}

TEST(Verdict, AStageThatIsAWholeZoneIsHeldAgainstTheOthers) {
  const auto judge = [](double fails) {
    rollout::Verdict v(rollout::Guards{});
    rollout::Figures f[2];
    for (int node = 0; node < 2; ++node) f[node].pid = node + 1;
    for (int second = 0; second < 600; ++second) {
      for (int node = 0; node < 2; ++node) {  // the new one alone in zone a, the old one alone in b
        auto& c = f[node].classes["docs"];
        c.served += 20, c.in_time += 20, c.started += 20, c.attempts += 20, c.attempts_squared += 20;
        c.first_ln += 100, c.first_ln_squared += 501;
        if (node == 0 && fails > 0 && second % 5 == 0) ++c.failed;
        v.Add(second * 1'000'000LL, node == 0 ? "new" : "old", node == 0 ? "a" : "b", node == 0, f[node]);
      }
    }
    return v.Judge(500).judgement;
  };
  EXPECT_EQ(judge(0), rollout::Judgement::kGood);
  EXPECT_EQ(judge(0.01), rollout::Judgement::kWorse);
}

// Beside load a stage of 100 requests ended with 0.22 +- 0.19 failed, and the next one began.
TEST(Verdict, AStageWhoseFailuresAreDoubtfulWaitsForMoreRequests) {
  rollout::Guards wide;
  wide.failed = 0.02;
  wide.sure = 1;
  wide.late = wide.slower = wide.attempts = 10;
  rollout::Verdict verdict(wide);
  rollout::Figures figures[2];
  const auto serve = [&](int node, int second, std::uint64_t served, std::uint64_t failed) {
    figures[node].pid = node + 1;
    rollout::ClassFigures& c = figures[node].classes["docs"];
    c.served += served, c.in_time += served, c.failed += failed;
    verdict.Add(second * 1'000'000LL, node == 0 ? "new" : "old", "a", node == 0, figures[node]);
  };
  constexpr std::uint64_t kLeast = 100;
  int second = 0;
  bool waited = false;
  rollout::Outcome outcome;
  while (outcome.judgement != rollout::Judgement::kWorse && ++second < 60) {
    serve(0, second, 8, 2);
    serve(1, second, 10, 0);
    outcome = verdict.Judge(kLeast);
    EXPECT_NE(outcome.judgement, rollout::Judgement::kGood) << "second " << second;
    waited = waited || (outcome.least_new >= kLeast && outcome.judgement == rollout::Judgement::kWait);
  }
  EXPECT_TRUE(waited);
  EXPECT_EQ(outcome.judgement, rollout::Judgement::kWorse);
}

}  // namespace
}  // namespace ryeglade
