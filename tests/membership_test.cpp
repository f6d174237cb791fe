// Membership: merging records in any order, the example scenarios with many emulated nodes over faulty links,
// and the invariant checker of such runs, tested with failure detectors that are known to be wrong.
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

Scenario ReadExample(const std::string& name) {
  return ReadScenario(std::string(RYEGLADE_EXAMPLES) + "/cluster/" + name + ".toml");
}

std::string Violations(const Verdict& verdict) {
  std::string all;
  for (const std::string& line : verdict.violations) all += line + "\n";
  return all;
}

EmulatedResult RunExample(const std::string& name, std::uint64_t seed,
                          const std::string& detector = "ryeglade") {
  EmulatedOptions options;
  options.seed = seed;
  options.detector = detector;
  return PlayEmulated(ReadExample(name), options);
}

// ---- Every example scenario, in virtual time ----

class ExampleScenario : public ::testing::TestWithParam<std::string> {};

TEST_P(ExampleScenario, MeetsItsExpectations) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const EmulatedResult result = RunExample(GetParam(), seed);
    EXPECT_TRUE(result.verdict.good())
        << GetParam() << " seed " << seed << ": " << Violations(result.verdict);
  }
}

std::vector<std::string> AllExamples() {
  std::vector<std::string> names;
  for (const auto& e : std::filesystem::directory_iterator(std::string(RYEGLADE_EXAMPLES) + "/cluster")) {
    if (e.path().extension() == ".toml") names.push_back(e.path().stem().string());
  }
  std::sort(names.begin(), names.end());
  return names;
}
INSTANTIATE_TEST_SUITE_P(Examples, ExampleScenario, ::testing::ValuesIn(AllExamples()),
                         [](const auto& example) {
                           std::string name = example.param;
                           std::replace(name.begin(), name.end(), '-', '_');
                           return name;
                         });

// ---- The invariant checker detects violations ----

TEST(InvariantChecker, DetectsHalvesThatRemoveEachOther) {
  const EmulatedResult result = RunExample("partition-half", 1, "no-majority");
  EXPECT_GT(result.verdict.figures.false_deaths, 0U);
  EXPECT_FALSE(result.verdict.good());
  EXPECT_FALSE(RunExample("cut-two-zones", 1, "swim").verdict.good());
}

TEST(InvariantChecker, DetectsADeadNodeThatIsNotRemovedInTime) {
  Scenario scenario = ReadExample("kill-one");
  scenario.expect.removed_within = 2;  // no node can detect the death that early
  const EmulatedResult result = PlayEmulated(scenario, {});
  EXPECT_NE(Violations(result.verdict).find("did not report within 2 periods"), std::string::npos)
      << Violations(result.verdict);
}

TEST(InvariantChecker, DetectsFlapping) {
  EXPECT_GT(RunExample("loss-50", 1, "heartbeat").verdict.figures.most_returns, 1U);
  EXPECT_FALSE(RunExample("pause-short", 1, "phi").verdict.good());
}

TEST(InvariantChecker, DetectsViewsThatDoNotConverge) {
  const EmulatedResult result = RunExample("partition-half", 1, "swim");
  EXPECT_NE(Violations(result.verdict).find("the views differ at the end"), std::string::npos)
      << Violations(result.verdict);
}

TEST(EmulatedCluster, SameSeedGivesTheSameRun) {
  std::vector<NodeEvent> first, second;
  EmulatedOptions options;
  options.seed = 7;
  options.events = &first;
  PlayEmulated(ReadExample("loss-50"), options);
  options.events = &second;
  PlayEmulated(ReadExample("loss-50"), options);
  ASSERT_EQ(first.size(), second.size());
  for (std::size_t i = 0; i < first.size(); ++i) {
    EXPECT_EQ(first[i].at, second[i].at);
    EXPECT_EQ(first[i].what, second[i].what);
    EXPECT_EQ(first[i].member, second[i].member);
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
            "several with commas");
  EXPECT_NE(error("name = \"x\"\n[[fault]]\nwhat = \"kil\"\n")
                .find("s.toml:3: fault.what: is \"kil\"; allowed are"),
            std::string::npos);
  EXPECT_NE(error("name = \"x\"\nlenght = 4\n").find("did you mean 'length'?"), std::string::npos);
}

// ---- All schedules of faults up to a given depth ----

TEST(Explorer, NoScheduleOfOneFaultBreaksAnInvariant) {
  for (const std::size_t nodes : {3U, 4U}) {
    ExploreOptions options;
    options.nodes = nodes;
    options.depth = 1;
    const ExplorationResult exploration = Explore(options);
    EXPECT_GT(exploration.schedules, 40U);
    EXPECT_GT(exploration.states, 100U);
    EXPECT_GT(exploration.deaths, 0U);
    EXPECT_GT(exploration.returns, 0U);
    for (const Violation& violation : exploration.violations)
      ADD_FAILURE() << violation.invariant << ": " << violation.schedule << ": " << violation.what;
  }
}

TEST(Explorer, EachInvariantIsBrokenByABrokenVariant) {
  const auto broken_invariants = [](const char* variant, std::size_t nodes, int depth) {
    ExploreOptions options;
    options.nodes = nodes;
    options.depth = depth;
    options.variant = variant;
    options.stop_at = 1000;
    return Explore(options).by_invariant;
  };
  EXPECT_TRUE(broken_invariants("no-order", 3, 1).contains("incarnation"));
  EXPECT_TRUE(broken_invariants("no-memory", 3, 1).contains("resurrection"));
  EXPECT_TRUE(broken_invariants("no-refute", 3, 1).contains("one-view"));
  EXPECT_TRUE(broken_invariants("no-majority", 4, 2).contains("minority"));
}

// ---- The model by itself ----

MemberRecord MakeRecord(const std::string& name, std::uint64_t incarnation,
                        RecordState state = RecordState::kAlive) {
  MemberRecord record;
  record.name = name;
  record.address = "a:" + name;
  record.incarnation = incarnation;
  record.uid = 1000 + static_cast<std::uint64_t>(name[0]);
  record.state = state;
  if (state == RecordState::kDead) record.reporters = {"x", "y", "z"};
  return record;
}

RC_GTEST_PROP(Records, MergingInAnyOrderAndWithRepetitionsGivesTheSameResult, ()) {
  const auto records = *rc::gen::container<std::vector<std::pair<int, int>>>(
      rc::gen::pair(rc::gen::inRange(0, 4), rc::gen::inRange(0, 4)));
  RC_PRE(!records.empty());
  const auto merge = [](const std::vector<std::pair<int, int>>& list) {
    MemberRecord merged = MakeRecord("n", 0);
    for (const auto& [incarnation, state] : list) {
      const MemberRecord next =
          MakeRecord("n", static_cast<std::uint64_t>(incarnation), static_cast<RecordState>(state));
      if (Supersedes(next, merged)) merged = next;
    }
    return std::pair(merged.incarnation, merged.state);
  };
  auto repeated = records;
  repeated.insert(repeated.end(), records.begin(), records.end());
  const auto order = *rc::gen::container<std::vector<int>>(repeated.size(), rc::gen::inRange(0, 1000));
  std::vector<std::size_t> indices(repeated.size());
  for (std::size_t i = 0; i < indices.size(); ++i) indices[i] = i;
  std::sort(indices.begin(), indices.end(),
            [&](std::size_t a, std::size_t b) { return order[a] < order[b]; });
  std::vector<std::pair<int, int>> shuffled;
  for (const std::size_t i : indices) shuffled.push_back(repeated[i]);
  RC_ASSERT(merge(records) == merge(shuffled));
}

// One membership model, with the messages of its peers made by the test.
struct SingleNode {
  explicit SingleNode(membership::MembershipOptions options = {})
      : model(options, MakeRecord("s", 100), 0, [this] { return random_state += 977; }) {}
  Message MakeMessage(const MemberRecord& peer, MessageKind kind) const {
    Message message;
    message.cluster = model.options().cluster;
    message.sender = peer;
    message.kind = kind;
    return message;
  }
  void Receive(const Message& message) {
    out.Clear();
    model.OnMessage(now, message.sender.address, message, out);
  }
  // Delivers a ping from `peer` and answers the node's pings to `peer` until it is a live member.
  void Join(const MemberRecord& peer) {
    Receive(MakeMessage(peer, MessageKind::kPing));
    for (int i = 0; i < 20 && model.StateOf(peer.name) != MemberState::kAlive; ++i) {
      RunTick();
      std::vector<Message> answers;
      for (const auto& send : out.sends) {
        if (send.to != peer.address || send.message.kind != MessageKind::kPing) continue;
        answers.push_back(MakeMessage(peer, MessageKind::kAck));
        answers.back().seq = send.message.seq;
      }
      for (const Message& answer : answers) Receive(answer);
    }
  }
  void RunTick() {
    out.Clear();
    now += model.tick_interval();
    model.Tick(now, out);
  }
  void RunTicks(int steps) {
    for (int i = 0; i < steps; ++i) RunTick();
  }
  std::uint64_t random_state = 1;
  Time now = 0;
  Actions out;
  MembershipModel model;
};

TEST(Membership, NodesBecomeMembersOnlyAfterTheyHaveAnswered) {
  SingleNode node;
  Message gossip = node.MakeMessage(MakeRecord("a", 5), MessageKind::kUpdates);
  for (int i = 0; i < 2000; ++i) {
    Update update;
    update.record = MakeRecord("g" + std::to_string(i), 9);
    gossip.updates.push_back(update);
  }
  node.Receive(gossip);
  EXPECT_EQ(node.model.live(), 1U);
  EXPECT_LE(node.model.known(), 1024U);  // the limit of the table
  node.RunTicks(1200);
  EXPECT_EQ(node.model.live(), 1U);
  EXPECT_LT(node.model.known(), 600U);  // unverified names are dropped one by one
}

TEST(Membership, DeathRequiresSeveralReporters) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d", "e"}) node.Join(MakeRecord(name, 5));
  ASSERT_EQ(node.model.live(), 6U);
  node.now += 3'000'000;  // its own round trips are no longer recent
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("b", 5, RecordState::kDead);
  update.record.reporters = {"a"};
  message.updates = {update};
  node.Receive(message);
  EXPECT_NE(node.model.StateOf("b"), MemberState::kDead);
  message.updates[0].record.reporters = {"a", "c", "d"};
  node.Receive(message);
  EXPECT_EQ(node.model.StateOf("b"), MemberState::kDead);
}

TEST(Membership, MemberThatWasReachedLatelyIsNotRemovedByRecordsFromOthers) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d"}) node.Join(MakeRecord(name, 5));
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("d", 5, RecordState::kLeft);
  message.updates = {update};
  node.Receive(message);
  EXPECT_EQ(node.model.StateOf("d"), MemberState::kAlive);  // this node reached it a moment ago
  EXPECT_EQ(std::count_if(node.out.sends.begin(), node.out.sends.end(),
                          [](const auto& send) { return send.message.kind == MessageKind::kPing; }),
            1);
  node.Receive(node.MakeMessage(MakeRecord("d", 5, RecordState::kLeft),
                                MessageKind::kUpdates));  // the member itself announces it
  EXPECT_EQ(node.model.StateOf("d"), MemberState::kLeft);
  message.updates[0].record = MakeRecord("c", 5, RecordState::kLeft);
  node.now += 3'000'000;  // its own round trips are no longer recent
  node.Receive(message);
  EXPECT_EQ(node.model.StateOf("c"), MemberState::kLeft);
}

TEST(Membership, LeavingMemberThatStopsAnsweringIsRemovedAfterReportsOfSeveral) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d", "e"}) node.Join(MakeRecord(name, 5));
  node.Receive(node.MakeMessage(MakeRecord("d", 6, RecordState::kLeaving), MessageKind::kUpdates));
  ASSERT_EQ(node.model.StateOf("d"), MemberState::kLeaving);
  std::uint64_t seq = 0;
  const auto report_unreachable = [&](const char* reporter) {
    Message message = node.MakeMessage(MakeRecord(reporter, 5), MessageKind::kUpdates);
    Update update;
    update.kind = Update::Kind::kReport;
    update.record.name = "d";
    update.record.incarnation = 6;
    update.report = {reporter, false, ++seq, 0};
    message.updates = {update};
    node.Receive(message);
  };
  // All peers except d answer. This node and one reporter are not enough for d's removal; with a second
  // reporter they are.
  const auto run = [&](int steps, std::initializer_list<const char*> reporters) {
    for (int i = 0; i < steps && node.model.StateOf("d") != MemberState::kLeft; ++i) {
      node.RunTick();
      const auto sends = node.out.sends;
      for (const auto& send : sends) {
        if (send.message.kind != MessageKind::kPing || send.message.target == "d") continue;
        Message ack = node.MakeMessage(MakeRecord(send.message.target.c_str(), 5), MessageKind::kAck);
        ack.seq = send.message.seq;
        node.Receive(ack);
      }
      if (i % 20 == 0) {
        for (const char* reporter : reporters) report_unreachable(reporter);
      }
    }
  };
  run(300, {"a"});
  EXPECT_EQ(node.model.StateOf("d"), MemberState::kSuspect);
  run(150, {"a", "b"});
  EXPECT_EQ(node.model.StateOf("d"), MemberState::kLeft);
}

TEST(Membership, LeavingNodeDoesNotRefuteItsRemoval) {
  SingleNode node;
  for (const char* name : {"a", "b"}) node.Join(MakeRecord(name, 5));
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = node.model.self();
  update.record.state = RecordState::kLeft;
  message.updates = {update};
  node.Receive(message);
  EXPECT_EQ(node.model.self().incarnation,
            update.record.incarnation + 1);  // refuted, as the node is not leaving yet
  node.out.Clear();
  node.model.Leave(node.now, node.out);
  const std::uint64_t incarnation_at_leave = node.model.self().incarnation;
  for (const RecordState state : {RecordState::kLeft, RecordState::kDead}) {
    message.updates[0].record = node.model.self();
    message.updates[0].record.state = state;
    node.Receive(message);
  }
  node.now += 5'000'000;  // a pause of this process
  node.RunTick();
  EXPECT_EQ(node.model.self().incarnation, incarnation_at_leave);
  EXPECT_EQ(node.model.self().state, RecordState::kLeaving);
}

TEST(Membership, DeadMemberReturnsOnlyAfterItWasReached) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d"}) node.Join(MakeRecord(name, 5));
  node.now += 3'000'000;
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kUpdates);
  Update update;
  update.record = MakeRecord("b", 5, RecordState::kDead);
  message.updates = {update};
  node.Receive(message);
  ASSERT_EQ(node.model.StateOf("b"), MemberState::kDead);
  message.updates[0].record = MakeRecord("b", 5);  // an outdated record
  node.Receive(message);
  EXPECT_EQ(node.model.StateOf("b"), MemberState::kDead);
  message.updates[0].record = MakeRecord("b", 6);  // a record of its return: it is probed first
  node.Receive(message);
  EXPECT_EQ(node.model.StateOf("b"), MemberState::kJoining);
  EXPECT_EQ(node.model.live(), 4U);
  node.Join(MakeRecord("b", 6));
  EXPECT_EQ(node.model.StateOf("b"), MemberState::kAlive);
}

TEST(Membership, RefutesASuspicionWithAHigherIncarnation) {
  SingleNode node;
  for (const char* name : {"a", "b"}) node.Join(MakeRecord(name, 5));
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kPing);
  Update update;
  update.kind = Update::Kind::kReport;
  update.record.name = "s";
  update.record.incarnation = 100;
  update.report.reporter = "b";
  update.report.seq = 1;
  message.updates = {update};
  node.Receive(message);
  EXPECT_EQ(node.model.self().incarnation, 101U);
  ASSERT_FALSE(node.out.sends.empty());
  EXPECT_EQ(node.out.sends[0].message.sender.incarnation, 101U);
  node.Receive(message);  // repeated: the report is about an older incarnation now
  EXPECT_EQ(node.model.self().incarnation, 101U);
}

TEST(Membership, RestartWithAClockSetBackRaisesItsIncarnationAboveTheKnownOne) {
  membership::MembershipOptions options;
  options.seeds = {"a:a"};
  SingleNode node(options);
  Message state = node.MakeMessage(MakeRecord("a", 5), MessageKind::kPushPull);
  Update update;
  update.record = MakeRecord("s", 900);
  update.record.uid = 1;
  state.updates = {update};
  node.out.Clear();
  node.model.OnPushPull(node.now, state, true, node.out);
  EXPECT_TRUE(node.model.joined());
  EXPECT_EQ(node.model.self().incarnation, 901U);
}

TEST(Membership, NodeThatWasPausedSuspectsNoMember) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d"}) node.Join(MakeRecord(name, 5));
  node.now += 60'000'000;  // a pause of one minute
  node.out.Clear();
  node.model.Tick(node.now, node.out);
  EXPECT_TRUE(std::any_of(node.out.events.begin(), node.out.events.end(),
                          [](const auto& event) { return std::string(event.reason) == "self-paused"; }));
  EXPECT_EQ(node.model.self().incarnation, 101U);
  node.RunTicks(3);
  for (const char* name : {"a", "b", "c", "d"}) EXPECT_EQ(node.model.StateOf(name), MemberState::kAlive);
}

TEST(Membership, IsolatedNodeSuspectsAPartitionAndNoMember) {
  SingleNode node;
  for (const char* name : {"a", "b", "c", "d"}) node.Join(MakeRecord(name, 5));
  bool stable = false;  // all members answer until the view is stable
  for (int i = 0; i < 100 && !stable; ++i) {
    node.RunTick();
    std::vector<Message> answers;
    for (const auto& send : node.out.sends) {
      if (send.message.kind != MessageKind::kPing) continue;
      MemberRecord peer = MakeRecord(send.to.substr(2), 5);
      answers.push_back(node.MakeMessage(peer, MessageKind::kAck));
      answers.back().seq = send.message.seq;
    }
    for (const Message& answer : answers) node.Receive(answer);
    stable = node.model.stable();
  }
  ASSERT_TRUE(stable);
  node.RunTicks(2000);  // without any further answers
  EXPECT_TRUE(node.model.partition_suspected());
  EXPECT_FALSE(node.model.stable());
  EXPECT_EQ(node.model.live(), 5U);
}

TEST(Membership, RejectsMessagesOfOtherClustersAndOfNewerSchemas) {
  SingleNode node;
  Message message = node.MakeMessage(MakeRecord("a", 5), MessageKind::kPing);
  EXPECT_STREQ(node.model.RejectReason(message), "");
  message.min_reader_schema = membership::kSchema + 1;
  EXPECT_STREQ(node.model.RejectReason(message), "too-new");
  message.cluster = "elsewhere";
  EXPECT_STREQ(node.model.RejectReason(message), "other-cluster");
}

TEST(Membership, DatagramsStayWithinTheSizeLimitWithManyUpdates) {
  SingleNode node;
  for (int i = 0; i < 200; ++i) node.Join(MakeRecord("m" + std::to_string(i), 5));
  std::size_t updates_sent = 0;
  for (int i = 0; i < 50; ++i) {
    node.RunTick();
    for (const auto& send : node.out.sends) {
      std::size_t bytes = membership::kMessageHeaderBytes + EncodedSize(send.message.sender);
      for (const Update& update : send.message.updates) bytes += EncodedSize(update);
      EXPECT_LE(bytes, 1400U);
      updates_sent += send.message.updates.size();
    }
  }
  EXPECT_GT(updates_sent, 50U);
}

}  // namespace
}  // namespace ryeglade::cluster
