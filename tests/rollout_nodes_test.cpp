// Rollouts with real processes: keepers, nodes, drivers, and faults between them.
#include <gtest/gtest.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>

#include "lab/rollout/local_tier.h"

namespace ryeglade::rollout_lab {
namespace {

constexpr Time kSecond = 1'000'000;
// With the sanitizers programs are ten times slower and take several times the memory.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool kSanitized = true;
#else
constexpr bool kSanitized = false;
#endif

std::string Program() { return std::getenv("RYEGLADE_PROGRAM"); }

const char* const kStages =
    "[[stage]]\ncount = 1\nsoak = \"1s\"\nrequests = 100\n[[stage]]\nsoak = \"1s\"\nrequests = 100\nat_once "
    "= "
    "2\n";
// Wide, as a few seconds of a busy machine say little: what is harmful here is harmful by far.
const char* const kGuards =
    "[guards]\nlate = 0.5\nrefused = 0.2\nfailed = 0.02\nsure = 0.2\nworld = 1\nslower = 0.5\nwindow = "
    "\"2s\"\n";

struct Trial {
  explicit Trial(double seconds = 40, std::size_t nodes = 4, bool membership = false)
      : tier(Options(seconds, nodes, membership)) {
    EXPECT_TRUE(tier.Up());
    tier.StartClients();
  }
  static TierOptions Options(double seconds, std::size_t nodes, bool membership) {
    TierOptions o;
    o.program = Program();
    o.nodes = nodes;
    o.seconds = seconds;
    o.membership = membership;
    if (kSanitized) o.lease = "6", o.ready_within = "15", o.end_within = "20", o.memory_mb = 2048;
    return o;
  }
  std::string Release(const std::string& id, const std::string& program) const {
    return "id = \"" + id + "\"\nprogram = \"" + program + "\"";
  }
  // The harmful program under the name of its harm.
  std::string Harmful(const std::string& harm) const {
    const std::string path = tier.root() + "/harmful-" + harm;
    const auto built = std::filesystem::path(Program()).parent_path() / "tests" / "ryeglade_faulty_release";
    std::filesystem::create_symlink(std::filesystem::absolute(built), path);
    return path;
  }
  std::string Copy(const std::string& name) const {
    const std::string path = tier.root() + "/" + name;
    std::filesystem::copy_file(Program(), path);
    return path;
  }
  std::string Plan(const std::string& release) { return tier.Plan("p", release, kStages, kGuards); }
  int Drive(const std::string& plan, const std::string& driver, Time most = 60 * kSecond) {
    auto d = tier.Rollout("start", plan, driver);
    const int code = Wait(*d, most);
    said = d->Log();
    return code;
  }
  // Every node's view has settled with all `n`.
  bool AllSettled(std::size_t n) {
    return tier.Until(
        [&] {
          for (std::size_t i = 0; i < n; ++i) {
            if (tier.Alive(i) != n) return false;
          }
          return true;
        },
        30 * kSecond);
  }
  int Wait(Running& r, Time most = 60 * kSecond) {
    return r.Wait(most, [this] { tier.Until([] { return false; }, 50'000); });
  }
  // Whatever happened: each request got one answer, and none was sent twice at once.
  void Rules(std::uint64_t unheard = 4) {
    tier.Stop();
    const RealTier::Served s = tier.served();
    EXPECT_GT(s.served, s.asked / 2) << s.asked;
    // One in fifty: a busy machine leaves connections at a listener that closes.
    if (!kSanitized) {
      EXPECT_LE(s.unheard, unheard + s.asked / 50) << s.asked;
    }
    EXPECT_EQ(s.two_at_once, 0U);
    EXPECT_EQ(s.asked, s.served + s.refused + s.unheard + s.other);
    std::string log;
  }
  RealTier tier;
  std::string said;
};

TEST(RolloutNodes, AGoodReleaseReachesAllInStages) {
  Trial t(25);
  EXPECT_EQ(t.Drive(t.Plan(t.Release("new", t.Copy("ryeglade-2"))), "d1"), 0) << t.said;
  EXPECT_EQ(t.tier.On("new"), 4U) << t.said;
  for (std::size_t i = 0; i < 4; ++i) {
    const auto s = t.tier.Status(i);
    ASSERT_TRUE(s);
    EXPECT_EQ(s->last_good.id, "new");
    EXPECT_EQ(s->directive, "done");
  }
  t.Rules();
  if (!kSanitized) {
    EXPECT_EQ(t.tier.served().other, 0U);
  }
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(t.tier.NodesAlive(i), 1U);
}

TEST(RolloutNodes, OneThatFailsStreamsIsStoppedInItsFirstStageAndTakenBack) {
  Trial t;
  EXPECT_EQ(t.Drive(t.Plan(t.Release("bad", t.Harmful("fails"))), "d1"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  EXPECT_EQ(t.said.find("course=stage stage=2"), std::string::npos) << t.said;
  EXPECT_NE(t.said.find("failed"), std::string::npos) << t.said;
  t.Rules();
}

TEST(RolloutNodes, OneThatCrashesIsReplacedByTheLastGoodOne) {
  Trial t;
  EXPECT_EQ(t.Drive(t.Plan(t.Release("bad", t.Harmful("crashes"))), "d1"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  t.Rules(60);  // what a crashing process had taken is lost with it
}

TEST(RolloutNodes, OneThatDoesNotStartOrSettingsThatItRejectsNeverServe) {
  Trial t(30);
  EXPECT_EQ(t.Drive(t.Plan(t.Release("bad", "/bin/false")), "d1"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  const std::string settings = t.tier.root() + "/bad.toml";
  std::ofstream(settings) << "[openai]\nlisten = 17\n";
  const std::string plan =
      t.tier.Plan("p2", "id = \"bad2\"\nsettings = \"" + settings + "\"", kStages, kGuards);
  auto check = t.tier.Rollout("plan", plan, "d2");
  EXPECT_EQ(t.Wait(*check), 1);
  EXPECT_NE(check->Log().find("REFUSED"), std::string::npos) << check->Log();
  EXPECT_EQ(t.Drive(plan, "d3"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  t.Rules(0);
  EXPECT_EQ(t.tier.served().other, 0U);
}

TEST(RolloutNodes, OneThatGivesNoFiguresIsTakenBack) {
  Trial t(45);
  EXPECT_EQ(t.Drive(t.Plan(t.Release("bad", t.Harmful("mute"))), "d1"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  t.Rules();
}

TEST(RolloutNodes, AMuchSlowerOneIsStopped) {
  Trial t;
  EXPECT_EQ(t.Drive(t.Plan(t.Release("bad", t.Harmful("slow"))), "d1"), 3) << t.said;
  EXPECT_EQ(t.tier.On("old"), 4U);
  t.Rules();
}

TEST(RolloutNodes, OneThatIsDeafToSigtermIsReplacedAllTheSame) {
  Trial t(45, 3);
  EXPECT_EQ(t.Drive(t.Plan(t.Release("deaf", t.Harmful("deaf"))), "d1"), 0) << t.said;
  EXPECT_EQ(t.Drive(t.tier.Plan("p2", t.Release("new", t.Copy("ryeglade-2")), kStages, kGuards), "d2"), 0)
      << t.said;
  EXPECT_EQ(t.tier.On("new"), 3U);
  EXPECT_TRUE(
      t.tier.Until([&] { return t.tier.NodesAlive(0) == 1 && t.tier.NodesAlive(1) == 1; }, 20 * kSecond));
  t.Rules();
}

TEST(RolloutNodes, ADriverKilledAgainAndAgainIsFollowedByOthers) {
  Trial t(60);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  unsigned seed = 7;
  int code = -1;
  for (int i = 0; i < 12 && code != 0; ++i) {
    auto d = t.tier.Rollout("start", plan, "d" + std::to_string(i));
    seed = seed * 1103515245 + 12345;
    const Time lives = i < 8 ? 1'300'000 + static_cast<Time>(seed / 65536 % 2000) * 1000 : 60 * kSecond;
    t.tier.Until([&] { return !d->Alive(); }, lives);
    if (d->Alive()) {
      d->Signal(SIGKILL);
      t.Wait(*d);
    } else {
      code = t.Wait(*d);
    }
  }
  EXPECT_EQ(code, 0);
  EXPECT_EQ(t.tier.On("new"), 4U);
  t.Rules();
}

TEST(RolloutNodes, APausedDriverThatComesBackWithAnOldEpochIsRefused) {
  Trial t(45);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto first = t.tier.Rollout("start", plan, "first");
  EXPECT_TRUE(t.tier.Until([&] { return t.tier.On("new") == 1; }, 30 * kSecond));
  first->Signal(SIGSTOP);
  EXPECT_EQ(t.Drive(plan, "second"), 0) << t.said;
  first->Signal(SIGCONT);
  EXPECT_EQ(t.Wait(*first), 4) << first->Log();
  EXPECT_EQ(t.tier.On("new"), 4U);
  t.Rules();
}

TEST(RolloutNodes, AnAnswerThatIsLostDoesNotMakeAStepTwice) {
  Trial t(45);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto d = t.tier.Rollout("start", plan, "d1");
  t.tier.Until([] { return false; }, 1'500'000);
  t.tier.Cut(0, false, true);  // it hears, and nobody hears it
  t.tier.Until([] { return false; }, 3 * kSecond);
  t.tier.Cut(0, false, false);
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  EXPECT_EQ(t.tier.On("new"), 4U);
  for (std::size_t i = 0; i < 4; ++i) EXPECT_EQ(t.tier.NodesAlive(i), 1U);
  t.Rules();
}

TEST(RolloutNodes, ADelayedLinkAndAMachineThatVanishesArePassedOver) {
  Trial t(45);
  t.tier.Delay(50'000);
  t.tier.Cut(3, true, true);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  EXPECT_EQ(t.Drive(plan, "d1"), 0) << t.said;
  EXPECT_NE(t.said.find("passed_over=n3"), std::string::npos) << t.said;
  EXPECT_EQ(t.tier.On("new"), 3U);
  // It comes back: the same plan brings it along.
  t.tier.Cut(3, false, false);
  EXPECT_EQ(t.Drive(plan, "d2"), 0) << t.said;
  EXPECT_EQ(t.tier.On("new"), 4U);
  t.Rules();
}

TEST(RolloutNodes, AKeeperKilledDuringAHandOverIsFollowedByOneThatAdoptsTheNode) {
  Trial t(50);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto d = t.tier.Rollout("start", plan, "d1");
  EXPECT_TRUE(t.tier.Until([&] { return t.tier.NodesAlive(0) == 2; }, 20 * kSecond));
  t.tier.KillKeeper(0);
  t.tier.Until([] { return false; }, kSecond);
  t.tier.StartKeeper(0);
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  EXPECT_EQ(t.tier.On("new"), 4U) << d->Log();
  EXPECT_TRUE(t.tier.Until([&] { return t.tier.NodesAlive(0) == 1; }, 20 * kSecond)) << t.tier.KeeperLog(0);
  t.Rules();
}

TEST(RolloutNodes, ANodeKilledWhileANewOneIsTriedComesBackAndTheRolloutGoesOn) {
  Trial t(50);
  const pid_t before = t.tier.NodePid(2);
  kill(before, SIGKILL);
  EXPECT_TRUE(
      t.tier.Until([&] { return t.tier.NodePid(2) > 0 && t.tier.NodePid(2) != before; }, 20 * kSecond));
  t.tier.KillKeeper(1);  // a node goes on without its keeper
  EXPECT_EQ(t.tier.NodesAlive(1), 1U);
  t.tier.StartKeeper(1);
  EXPECT_TRUE(t.tier.Up());
  EXPECT_EQ(t.tier.NodesAlive(1), 1U);
  EXPECT_EQ(t.Drive(t.Plan(t.Release("new", t.Copy("ryeglade-2"))), "d1"), 0) << t.said;
  EXPECT_EQ(t.tier.On("new"), 4U);
  t.Rules(60);  // what the killed one had taken, and what met no listener until it was back
}

TEST(RolloutNodes, HalfOfTheReplicasLostAsAGoodStageBeginsIsNotBlamedOnIt) {
  Trial t(45);
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto d = t.tier.Rollout("start", plan, "d1");
  EXPECT_TRUE(t.tier.Until([&] { return t.tier.NodesAlive(0) == 2; }, 20 * kSecond));
  t.tier.replicas()[0]->options().batch = t.tier.replicas()[0]->options().queue = 0;  // all is turned away
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  EXPECT_EQ(t.tier.On("new"), 4U);
  t.Rules();
}

TEST(RolloutNodes, AnOperatorTakesADoneRolloutNoFurtherBackAndAnUnfinishedOneBack) {
  Trial t(45);
  const std::string plan = t.tier.Plan("p", t.Release("new", t.Copy("ryeglade-2")),
                                       "[[stage]]\ncount = 1\nsoak = \"60s\"\n[[stage]]\n", kGuards);
  auto d = t.tier.Rollout("start", plan, "d1");
  EXPECT_TRUE(t.tier.Until([&] { return t.tier.On("new") == 1; }, 30 * kSecond));
  auto pause = t.tier.Rollout("pause", plan, "op1");
  EXPECT_EQ(t.Wait(*pause), 0) << pause->Log();
  EXPECT_EQ(t.Wait(*d), 4) << d->Log();  // superseded by the operator's word
  auto back = t.tier.Rollout("back", plan, "op2");
  EXPECT_EQ(t.Wait(*back), 3) << back->Log();
  EXPECT_EQ(t.tier.On("old"), 4U);
  t.Rules();
}

TEST(RolloutNodes, ANodeThatTheOthersCallDeadIsLeftAloneAndBroughtAlongWhenItIsBack) {
  Trial t(60, 4, true);
  ASSERT_TRUE(t.AllSettled(4));
  t.tier.SignalNode(2, SIGSTOP);  // its keeper runs on and would do as it is told
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto d = t.tier.Rollout("start", plan, "d1");
  EXPECT_TRUE(t.tier.Until([&] { return d->Log().find("left_alone=n2") != std::string::npos; }, 30 * kSecond))
      << d->Log();
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  EXPECT_NE(d->Log().find("dead=n2"), std::string::npos) << d->Log();
  EXPECT_NE(d->Log().find("passed_over=n2"), std::string::npos) << d->Log();
  EXPECT_EQ(t.tier.On("new"), 3U);
  EXPECT_EQ(t.tier.NodesAlive(2), 1U);  // nothing was started beside it
  t.tier.SignalNode(2, SIGCONT);
  ASSERT_TRUE(t.tier.Until([&] { return t.tier.Alive(0) == 4; }, 30 * kSecond));
  EXPECT_EQ(t.Drive(plan, "d2"), 0) << t.said;
  EXPECT_EQ(t.tier.On("new"), 4U) << t.said;
  t.Rules(3000);  // what its clients asked while it stood
}

TEST(RolloutNodes, AViewInDoubtBeginsNothingUntilItIsSureAgain) {
  Trial t(60, 4, true);
  ASSERT_TRUE(t.AllSettled(4));
  t.tier.SignalNode(2, SIGSTOP);
  t.tier.SignalNode(3, SIGSTOP);
  ASSERT_TRUE(t.tier.Until([&] { return t.tier.InDoubt(0) && t.tier.InDoubt(1); }, 30 * kSecond));
  const std::string plan = t.Plan(t.Release("new", t.Copy("ryeglade-2")));
  auto d = t.tier.Rollout("start", plan, "d1");
  ASSERT_TRUE(t.tier.Until(
      [&] { return d->Log().find("0 of 4 status addresses are sure") != std::string::npos; }, 30 * kSecond))
      << d->Log();
  t.tier.Until([] { return false; }, 2 * kSecond);
  EXPECT_EQ(t.tier.On("old"), 4U) << d->Log();
  t.tier.SignalNode(2, SIGCONT);
  t.tier.SignalNode(3, SIGCONT);
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  EXPECT_EQ(t.tier.On("new"), 4U) << d->Log();
  t.Rules(3000);
}

TEST(RolloutNodes, ARecordTellsWhatTheDriverSawAndIsDrawn) {
  Trial t(25, 3);
  const std::string record = t.tier.root() + "/record.jsonl", chart = t.tier.root() + "/chart.svg";
  auto d =
      t.tier.Rollout("start", t.Plan(t.Release("new", t.Copy("ryeglade-2"))), "d1", {"--record", record});
  EXPECT_EQ(t.Wait(*d), 0) << d->Log();
  Running report({Program(), "rollout", "report", record, "--chart", chart, "--csv", record + ".csv"},
                 record + ".log");
  EXPECT_EQ(t.Wait(report), 0) << report.Log();
  EXPECT_NE(report.Log().find("done"), std::string::npos) << report.Log();
  EXPECT_NE(report.Log().find("first-token"), std::string::npos) << report.Log();
  std::ifstream svg(chart);
  const std::string drawn((std::istreambuf_iterator<char>(svg)), std::istreambuf_iterator<char>());
  EXPECT_NE(drawn.find("</svg>"), std::string::npos);
  EXPECT_NE(drawn.find("n2"), std::string::npos);
  t.Rules();
}

}  // namespace
}  // namespace ryeglade::rollout_lab
