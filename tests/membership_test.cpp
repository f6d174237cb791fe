// Membership: merges in any order, the pure part at many nodes over links that do wrong, and the judge of
// such runs against detectors that are known to be wrong.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

#include "lab/cluster/emulated.h"
#include "lab/cluster/explorer.h"
#include "membership/membership_model.h"
#include "settings/toml_reader.h"

namespace ryeglade::cluster {
namespace {

using membership::Actions;
using membership::MemberRecord;
using membership::MembershipModel;
using membership::MemberState;
using membership::Message;
using membership::MessageKind;
using membership::RecordState;
using membership::Update;

Scenario Shipped(const std::string& name) {
  return ReadScenario(std::string(RYEGLADE_EXAMPLES) + "/cluster/" + name + ".toml");
}

std::string Words(const Verdict& v) {
  std::string all;
  for (const std::string& line : v.broken) all += line + "\n";
  return all;
}

EmulatedResult Play(const std::string& name, std::uint64_t seed, const std::string& detector = "ryeglade") {
  EmulatedOptions o;
  o.seed = seed;
  o.detector = detector;
  return PlayEmulated(Shipped(name), o);
}

// ---- Every shipped scenario, in virtual time ----

class Scenarios : public ::testing::TestWithParam<std::string> {};

TEST_P(Scenarios, HoldWhatTheyExpect) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const EmulatedResult r = Play(GetParam(), seed);
    EXPECT_TRUE(r.verdict.good()) << GetParam() << " seed " << seed << ": " << Words(r.verdict);
  }
}

std::vector<std::string> AllScenarios() {
  std::vector<std::string> names;
  for (const auto& e : std::filesystem::directory_iterator(std::string(RYEGLADE_EXAMPLES) + "/cluster")) {
    if (e.path().extension() == ".toml") names.push_back(e.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}
INSTANTIATE_TEST_SUITE_P(Shipped, Scenarios, ::testing::ValuesIn(AllScenarios()), [](const auto& shipped) {
  std::string name = shipped.param;
  std::replace(name.begin(), name.end(), '-', '_');
  return name;
});

// ---- The judge sees what is wrong ----

TEST(Judge, CatchesHalvesThatRemoveEachOther) {
  const EmulatedResult r = Play("partition-half", 1, "no-majority");
  EXPECT_GT(r.verdict.figures.false_deaths, 0U);
  EXPECT_FALSE(r.verdict.good());
  EXPECT_FALSE(Play("cut-two-zones", 1, "swim").verdict.good());
}

TEST(Judge, CatchesADeadNodeThatIsNeverTold) {
  Scenario s = Shipped("kill-one");
  s.expect.removed_within = 2;  // nobody can know by then
  const EmulatedResult r = PlayEmulated(s, {});
  EXPECT_NE(Words(r.verdict).find("did not say within 2 periods"), std::string::npos) << Words(r.verdict);
}

TEST(Judge, CatchesFlapping) {
  EXPECT_GT(Play("loss-50", 1, "heartbeat").verdict.figures.most_returns, 1U);
  EXPECT_FALSE(Play("pause-short", 1, "phi").verdict.good());
}

TEST(Judge, CatchesViewsThatStayApart) {
  const EmulatedResult r = Play("partition-half", 1, "swim");
  EXPECT_NE(Words(r.verdict).find("the views are not one"), std::string::npos) << Words(r.verdict);
}

TEST(Emulated, OneSeedGivesOneRun) {
  std::vector<Seen> a, b;
  EmulatedOptions o;
  o.seed = 7;
  o.said = &a;
  PlayEmulated(Shipped("loss-50"), o);
  o.said = &b;
  PlayEmulated(Shipped("loss-50"), o);
  ASSERT_EQ(a.size(), b.size());
  for (std::size_t i = 0; i < a.size(); ++i) {
    EXPECT_EQ(a[i].at, b[i].at);
    EXPECT_EQ(a[i].what, b[i].what);
    EXPECT_EQ(a[i].member, b[i].member);
  }
}

TEST(ScenarioFile, ErrorsNameFileLineKeyAndRemedy) {
  const auto error = [](const std::string& text) -> std::string {
    try {
      ParseScenario("s.toml", text);
    } catch (const SettingsError& e) {
      return e.what();
    }
    return "";
  };
  EXPECT_EQ(error("name = \"x\"\nnodes = 4\n[[fault]]\nwhat = \"pause\"\nnodes = \"7\"\nlasts = 1\n"),
            "s.toml:5: fault.nodes: \"7\" names no nodes; give all, a number under 4, 2-5, zone:0 or not:3, "
            "several "
            "with commas");
  EXPECT_NE(error("name = \"x\"\n[[fault]]\nwhat = \"kil\"\n")
                .find("s.toml:3: fault.what: is \"kil\"; allowed are"),
            std::string::npos);
  EXPECT_NE(error("name = \"x\"\nlenght = 4\n").find("did you mean 'length'?"), std::string::npos);
}

// ---- Every schedule of faults to a depth ----

TEST(Explorer, NoScheduleOfOneFaultBreaksAnInvariant) {
  for (const std::size_t nodes : {3U, 4U}) {
    ExploreOptions o;
    o.nodes = nodes;
    o.depth = 1;
    const ExplorationResult e = Explore(o);
    EXPECT_GT(e.schedules, 40U);
    EXPECT_GT(e.states, 100U);
    EXPECT_GT(e.deaths, 0U);
    EXPECT_GT(e.returns, 0U);
    for (const Breach& b : e.breaches) ADD_FAILURE() << b.invariant << ": " << b.schedule << ": " << b.what;
  }
}

TEST(Explorer, EachInvariantIsBrokenByABrokenVariant) {
  const auto broken = [](const char* variant, std::size_t nodes, int depth) {
    ExploreOptions o;
    o.nodes = nodes;
    o.depth = depth;
    o.variant = variant;
    o.stop_at = 1000;
    return Explore(o).by_invariant;
  };
  EXPECT_TRUE(broken("no-order", 3, 1).contains("incarnation"));
  EXPECT_TRUE(broken("no-memory", 3, 1).contains("resurrection"));
  EXPECT_TRUE(broken("no-refute", 3, 1).contains("one-view"));
  EXPECT_TRUE(broken("no-majority", 4, 2).contains("minority"));
}

// ---- The pure part by itself ----

MemberRecord MakeRecord(const std::string& name, std::uint64_t incarnation,
                        RecordState state = RecordState::kAlive) {
  MemberRecord r;
  r.name = name;
  r.address = "a:" + name;
  r.incarnation = incarnation;
  r.uid = 1000 + static_cast<std::uint64_t>(name[0]);
  r.state = state;
  if (state == RecordState::kDead) r.reporters = {"x", "y", "z"};
  return r;
}

RC_GTEST_PROP(Records, MergeInAnyOrderAndAnyNumberEndsTheSame, ()) {
  const auto some = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
  RC_PRE(!some.empty());
  const auto merged = [](const std::vector<std::pair<int, int>>& list) {
    MemberRecord r = MakeRecord("n", 0);
    for (const auto& [incarnation, state] : list) {
      const MemberRecord next =
          MakeRecord("n", static_cast<std::uint64_t>(incarnation), static_cast<RecordState>(state));
      if (Supersedes(next, r)) r = next;
    }
    return std::pair(r.incarnation, r.state);
  };
  auto other = some;
  other.insert(other.end(), some.begin(), some.end());
  const auto order = *rc::gen::container<std::vector<int>>(other.size(), rc::gen::inRange(0, 1000));
  std::vector<std::size_t> at(other.size());
  for (std::size_t i = 0; i < at.size(); ++i) at[i] = i;
  std::sort(at.begin(), at.end(), [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
  std::vector<std::pair<int, int>> shuffled;
  for (const std::size_t i : at) shuffled.push_back(other[i]);
  RC_ASSERT(merged(some) == merged(shuffled));
}

struct Solo {
  explicit Solo(membership::MembershipOptions o = {})
      : model(o, MakeRecord("s", 100), 0, [this] { return next += 977; }) {}
  Message From(const MemberRecord& who, MessageKind kind) const {
    Message m;
    m.cluster = model.options().cluster;
    m.sender = who;
    m.kind = kind;
    return m;
  }
  void Take(const Message& m) {
    out.Clear();
    model.OnMessage(now, m.sender.address, m, out);
  }
  // Answers each of its pings to `who`.
  void Meet(const MemberRecord& who) {
    Take(From(who, MessageKind::kPing));
    for (int i = 0; i < 20 && model.StateOf(who.name) != MemberState::kAlive; ++i) {
      Step();
      std::vector<Message> answers;
      for (const auto& send : out.sends) {
        if (send.to != who.address || send.message.kind != MessageKind::kPing) continue;
        answers.push_back(From(who, MessageKind::kAck));
        answers.back().seq = send.message.seq;
      }
      for (const Message& a : answers) Take(a);
    }
  }
  void Step() {
    out.Clear();
    now += model.tick_interval();
    model.Tick(now, out);
  }
  void Run(int steps) {
    for (int i = 0; i < steps; ++i) Step();
  }
  std::uint64_t next = 1;
  Time now = 0;
  Actions out;
  MembershipModel model;
};

TEST(Membership, NobodyIsAMemberBeforeItAnswered) {
  Solo s;
  Message gossip = s.From(MakeRecord("a", 5), MessageKind::kUpdates);
  for (int i = 0; i < 2000; ++i) {
    Update update;
    update.record = MakeRecord("g" + std::to_string(i), 9);
    gossip.updates.push_back(update);
  }
  s.Take(gossip);
  EXPECT_EQ(s.model.live(), 1U);
  EXPECT_LE(s.model.known(), 1024U);  // the table's bound
  s.Run(1200);
  EXPECT_EQ(s.model.live(), 1U);
  EXPECT_LT(s.model.known(), 600U);  // given up one by one
}

TEST(Membership, NobodyKillsAlone) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d", "e"}) s.Meet(MakeRecord(name, 5));
  ASSERT_EQ(s.model.live(), 6U);
  s.now += 3'000'000;  // its own evidence is old
  Message m = s.From(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("b", 5, RecordState::kDead);
  update.record.reporters = {"a"};
  m.updates = {update};
  s.Take(m);
  EXPECT_NE(s.model.StateOf("b"), MemberState::kDead);
  m.updates[0].record.reporters = {"a", "c", "d"};
  s.Take(m);
  EXPECT_EQ(s.model.StateOf("b"), MemberState::kDead);
}

TEST(Membership, NobodyIsSaidToHaveLeftByHearsayWhileItIsReached) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d"}) s.Meet(MakeRecord(name, 5));
  Message m = s.From(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("d", 5, RecordState::kLeft);
  m.updates = {update};
  s.Take(m);
  EXPECT_EQ(s.model.StateOf("d"), MemberState::kAlive);  // reached just now
  EXPECT_EQ(std::count_if(s.out.sends.begin(), s.out.sends.end(),
                          [](const auto& send) { return send.message.kind == MessageKind::kPing; }),
            1);
  s.Take(s.From(MakeRecord("d", 5, RecordState::kLeft), MessageKind::kUpdates));  // it says so itself
  EXPECT_EQ(s.model.StateOf("d"), MemberState::kLeft);
  m.updates[0].record = MakeRecord("c", 5, RecordState::kLeft);
  s.now += 3'000'000;  // its own evidence is old
  s.Take(m);
  EXPECT_EQ(s.model.StateOf("c"), MemberState::kLeft);
}

TEST(Membership, OneThatLeavesAndFallsSilentHasLeftByTheWordOfSeveral) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d", "e"}) s.Meet(MakeRecord(name, 5));
  s.Take(s.From(MakeRecord("d", 6, RecordState::kLeaving), MessageKind::kUpdates));
  ASSERT_EQ(s.model.StateOf("d"), MemberState::kLeaving);
  std::uint64_t seq = 0;
  const auto accuse = [&](const char* by) {
    Message m = s.From(MakeRecord(by, 5), MessageKind::kUpdates);
    Update update;
    update.kind = Update::Kind::kReport;
    update.record.name = "d";
    update.record.incarnation = 6;
    update.report = {by, false, ++seq, 0};
    m.updates = {update};
    s.Take(m);
  };
  // The others answer, d does not; but for a it would be this node's word alone.
  const auto run = [&](int steps, std::initializer_list<const char*> accusers) {
    for (int i = 0; i < steps && s.model.StateOf("d") != MemberState::kLeft; ++i) {
      s.Step();
      const auto sends = s.out.sends;
      for (const auto& send : sends) {
        if (send.message.kind != MessageKind::kPing || send.message.target == "d") continue;
        Message ack = s.From(MakeRecord(send.message.target.c_str(), 5), MessageKind::kAck);
        ack.seq = send.message.seq;
        s.Take(ack);
      }
      if (i % 20 == 0) {
        for (const char* by : accusers) accuse(by);
      }
    }
  };
  run(300, {"a"});
  EXPECT_EQ(s.model.StateOf("d"), MemberState::kSuspect);
  run(150, {"a", "b"});
  EXPECT_EQ(s.model.StateOf("d"), MemberState::kLeft);
}

TEST(Membership, OneThatLeavesDoesNotComeBackToRefuteItsEnd) {
  Solo s;
  for (const char* name : {"a", "b"}) s.Meet(MakeRecord(name, 5));
  Message m = s.From(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = s.model.self();
  update.record.state = RecordState::kLeft;
  m.updates = {update};
  s.Take(m);
  EXPECT_EQ(s.model.self().incarnation, update.record.incarnation + 1);  // said of one that stays
  s.out.Clear();
  s.model.Leave(s.now, s.out);
  const std::uint64_t leaving = s.model.self().incarnation;
  for (const RecordState state : {RecordState::kLeft, RecordState::kDead}) {
    m.updates[0].record = s.model.self();
    m.updates[0].record.state = state;
    s.Take(m);
  }
  s.now += 5'000'000;  // it was not running
  s.Step();
  EXPECT_EQ(s.model.self().incarnation, leaving);
  EXPECT_EQ(s.model.self().state, RecordState::kLeaving);
}

TEST(Membership, TheDeadDoNotComeBackByHearsay) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d"}) s.Meet(MakeRecord(name, 5));
  s.now += 3'000'000;
  Message m = s.From(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("b", 5, RecordState::kDead);
  m.updates = {update};
  s.Take(m);
  ASSERT_EQ(s.model.StateOf("b"), MemberState::kDead);
  m.updates[0].record = MakeRecord("b", 5);  // late
  s.Take(m);
  EXPECT_EQ(s.model.StateOf("b"), MemberState::kDead);
  m.updates[0].record = MakeRecord("b", 6);  // said to be back: it is looked at
  s.Take(m);
  EXPECT_EQ(s.model.StateOf("b"), MemberState::kJoining);
  EXPECT_EQ(s.model.live(), 4U);
  s.Meet(MakeRecord("b", 6));
  EXPECT_EQ(s.model.StateOf("b"), MemberState::kAlive);
}

TEST(Membership, AnswersToAnAccusationWithAHigherIncarnation) {
  Solo s;
  for (const char* name : {"a", "b"}) s.Meet(MakeRecord(name, 5));
  Message m = s.From(MakeRecord("a", 5), MessageKind::kPing);
  Update update;
  update.kind = Update::Kind::kReport;
  update.record.name = "s";
  update.record.incarnation = 100;
  update.report.reporter = "b";
  update.report.seq = 1;
  m.updates = {update};
  s.Take(m);
  EXPECT_EQ(s.model.self().incarnation, 101U);
  ASSERT_FALSE(s.out.sends.empty());
  EXPECT_EQ(s.out.sends[0].message.sender.incarnation, 101U);
  s.Take(m);  // once more: it speaks of an older incarnation now
  EXPECT_EQ(s.model.self().incarnation, 101U);
}

TEST(Membership, ARestartUnderTheSameNameWithAClockSetBackGoesAboveWhatIsKnown) {
  membership::MembershipOptions o;
  o.seeds = {"a:a"};
  Solo s(o);
  Message state = s.From(MakeRecord("a", 5), MessageKind::kPushPull);
  Update update;
  update.record = MakeRecord("s", 900);
  update.record.uid = 1;
  state.updates = {update};
  s.out.Clear();
  s.model.OnPushPull(s.now, state, true, s.out);
  EXPECT_TRUE(s.model.joined());
  EXPECT_EQ(s.model.self().incarnation, 901U);
}

TEST(Membership, AWakeAfterAPauseAccusesNobody) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d"}) s.Meet(MakeRecord(name, 5));
  s.now += 60'000'000;  // not running for a minute
  s.out.Clear();
  s.model.Tick(s.now, s.out);
  EXPECT_TRUE(std::any_of(s.out.events.begin(), s.out.events.end(),
                          [](const auto& event) { return std::string(event.reason) == "self-paused"; }));
  EXPECT_EQ(s.model.self().incarnation, 101U);
  s.Run(3);
  for (const char* name : {"a", "b", "c", "d"}) EXPECT_EQ(s.model.StateOf(name), MemberState::kAlive);
}

TEST(Membership, OneThatReachesNobodyAccusesNobodyAndDoubtsItsView) {
  Solo s;
  for (const char* name : {"a", "b", "c", "d"}) s.Meet(MakeRecord(name, 5));
  bool settled = false;
  for (int i = 0; i < 100 && !settled; ++i) {
    s.Step();
    std::vector<Message> answers;
    for (const auto& send : s.out.sends) {
      if (send.message.kind != MessageKind::kPing) continue;
      MemberRecord who = MakeRecord(send.to.substr(2), 5);
      answers.push_back(s.From(who, MessageKind::kAck));
      answers.back().seq = send.message.seq;
    }
    for (const Message& a : answers) s.Take(a);
    settled = s.model.stable();
  }
  ASSERT_TRUE(settled);
  s.Run(2000);  // and no answer more
  EXPECT_TRUE(s.model.partition_suspected());
  EXPECT_FALSE(s.model.stable());
  EXPECT_EQ(s.model.live(), 5U);
}

TEST(Membership, OtherClustersAndMessagesTooNewDoNotFit) {
  Solo s;
  Message m = s.From(MakeRecord("a", 5), MessageKind::kPing);
  EXPECT_STREQ(s.model.RejectReason(m), "");
  m.min_reader_schema = membership::kSchema + 1;
  EXPECT_STREQ(s.model.RejectReason(m), "too-new");
  m.cluster = "elsewhere";
  EXPECT_STREQ(s.model.RejectReason(m), "other-cluster");
}

TEST(Membership, DatagramsStayWithinTheirSizeWhateverThereIsToTell) {
  Solo s;
  for (int i = 0; i < 200; ++i) s.Meet(MakeRecord("m" + std::to_string(i), 5));
  std::size_t seen = 0;
  for (int i = 0; i < 50; ++i) {
    s.Step();
    for (const auto& send : s.out.sends) {
      std::size_t bytes = membership::kMessageHeaderBytes + EncodedSize(send.message.sender);
      for (const Update& update : send.message.updates) bytes += EncodedSize(update);
      EXPECT_LE(bytes, 1400U);
      seen += send.message.updates.size();
    }
  }
  EXPECT_GT(seen, 50U);
}

}  // namespace
}  // namespace ryeglade::cluster
