// Tests of experiments: invalid files, scenarios that are written and read back, interrupted runs,
// statistics, and the shrinking of scenarios.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>
#include <sys/resource.h>
#include <unistd.h>

#include <atomic>
#include <cmath>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "lab/experiment/measures.h"
#include "lab/experiment/report.h"
#include "lab/experiment/run.h"
#include "lab/experiment/shrink.h"
#include "settings/toml_reader.h"

namespace ryeglade::experiment {
namespace {

using emulator::FaultSpec;
using emulator::RunScenario;
using emulator::ScenarioOptions;
using emulator::ScenarioSpec;
using policy::Time;

// A directory that is removed with the object.
struct ScratchDir {
  std::string dir =
      std::filesystem::temp_directory_path().string() + "/ryeglade-exp-" + std::to_string(getpid());
  ScratchDir() { std::filesystem::create_directories(dir); }
  ~ScratchDir() { std::filesystem::remove_all(dir); }
  std::string operator/(const std::string& name) const { return dir + "/" + name; }
};

constexpr const char* kSmallExperiment = R"(name = "small"
policies = ["router", "random"]
seeds = 3
measures = ["share", "p99_ms"]
[[sweep]]
key = "load"
values = [0.5, 1.0]
[day]
length = "6s"
warm = "1s"
replica_series = "2s"
[clients]
rate = "60/s"
[fleet]
nodes = 2
replicas = 3
[[fault]]
what = "restart"
at = "3s"
lasts = "1s"
)";

std::string ErrorOf(const std::string& text) {
  try {
    ParseExperiment("x.toml", text);
  } catch (const SettingsError& e) {
    return e.what();
  }
  return "";
}

TEST(Spec, ErrorsNameThePlaceAndTheRemedy) {
  const std::vector<std::pair<std::string, std::vector<std::string>>> invalid = {
      {"", {"x.toml", "name", "missing"}},
      {"name = 'a'\nseed = 3\n", {"x.toml:2: seed", "did you mean 'seeds'"}},
      {"name = 'a'\n[day]\nlength = 40\n", {"x.toml:3: day.length", "no unit", "ms, s, m or h"}},
      {"name = 'a'\n[day]\nlength = \"40 sec\"\n", {"x.toml:3: day.length", "40 sec"}},
      {"name = 'a'\n[clients]\nrate = 1800\n", {"x.toml:3: clients.rate", "no unit", "/s"}},
      {"name = 'a'\n[clients]\nrate = \"18s\"\n", {"x.toml:3: clients.rate", "18s"}},
      {"name = 'a'\n[day]\nlength = \"10s\"\nwarm = \"10s\"\n", {"day", "shorter than length"}},
      {"name = 'a'\n[fleet]\nreplica = 3\n", {"x.toml:3: fleet.replica", "did you mean 'replicas'"}},
      {"name = 'a'\n[fleet]\nnodes = 0\n", {"x.toml:3: fleet.nodes", "from 1 to 4096"}},
      {"name = 'a'\n[[fault]]\nwhat = \"earthquake\"\n", {"x.toml:3: fault.what", "earthquake", "restart"}},
      {"name = 'a'\n[[class]]\naim = \"9s\"\ndeadline = \"2s\"\n", {"class", "later than its deadline"}},
      {"name = 'a'\npolicies = [\"robin\"]\n", {"x.toml:2: policies", "robin", "round-robin"}},
      {"name = 'a'\nmeasures = [\"speed\"]\n", {"x.toml:2: measures", "speed", "p99_ms"}},
      {"name = 'a'\n[[sweep]]\nkey = \"fleet.nodes\"\nvalues = []\n",
       {"x.toml:4: sweep.values", "at least one"}},
      {"name = 'a'\n[[sweep]]\nkey = \"fleet.nods\"\nvalues = [1]\n", {"fleet.nods", "did you mean 'nodes'"}},
      {"name = 'a'\n[[sweep]]\nkey = \"fleet.nodes\"\nvalues = [1, 0]\n", {"from 1 to 4096", "nodes 0"}},
      {"name = 'a'\n[[sweep]]\nkey = \"day.length\"\nvalues = [\"30s\", 20]\n", {"no unit", "length 20"}},
      {"name = 'a'\n[[sweep]]\nkey = \"fault.1.at\"\nvalues = [\"1s\"]\n[[fault]]\nwhat = \"dark\"\n",
       {"sweep.key", "0 to 0"}},
      {"name = 'a'\n[[sweep]]\nkey = \"load\"\nvalues = [\"much\"]\n", {"sweep.values", "must be numbers"}},
      {"name = \n", {"x.toml:1", "not TOML"}},
  };
  for (const auto& [text, words] : invalid) {
    const std::string error = ErrorOf(text);
    for (const std::string& word : words)
      EXPECT_NE(error.find(word), std::string::npos) << text << "\n" << error;
  }
}

TEST(Spec, ASweepMakesEveryCombinationOnce) {
  const Experiment e = ParseExperiment(
      "x",
      "name='a'\nseeds=2\n[[sweep]]\nkey='load'\nvalues=[0.5,2]\n[[sweep]]\nkey='fault.0.at'\n"
      "values=['3s','4s','5s']\n[clients]\nrate='10/s'\n[[fault]]\nwhat='dark'\n");
  ASSERT_EQ(e.cells.size(), 6U);
  EXPECT_EQ(e.simulations(), 12U);
  EXPECT_EQ(e.cells[0].scenario.clients.per_second, 5);
  EXPECT_EQ(e.cells[5].scenario.clients.per_second, 20);
  EXPECT_EQ(e.cells[4].scenario.faults[0].at, 4);
  EXPECT_EQ(e.CellName(4), "load 2, at 4s");
  EXPECT_EQ(e.axes[1].numbers, (std::vector<double>{3, 4, 5}));
  EXPECT_EQ(e.Scenario(11).seed, 2U);
}

RC_GTEST_PROP(SpecProperty, AWrittenScenarioIsReadBackUnchanged, ()) {
  ScenarioSpec scenario;
  scenario.seconds = *rc::gen::inRange(20, 500) / 4.0;
  scenario.warm_up_s = *rc::gen::inRange(0, 40) / 10.0;
  scenario.seed = *rc::gen::inRange<std::uint64_t>(0, 1 << 30);
  scenario.series_interval_s = *rc::gen::element(0.0, 0.5, 1.0, 5.0);
  scenario.clients.per_second = *rc::gen::inRange(0, 100'000) / 7.0;
  scenario.clients.honors_retry_after = *rc::gen::inRange(0, 1000) / 1000.0;
  scenario.clients.max_tries = *rc::gen::inRange(1, 9);
  scenario.fleet.nodes = *rc::gen::inRange(1, 64);
  scenario.fleet.replicas = *rc::gen::inRange(1, 1000);
  scenario.fleet.discovery_delay_s = *rc::gen::inRange(0, 1'000'000) / 1e6;
  scenario.fleet.kinds.resize(*rc::gen::inRange<std::size_t>(1, 4));
  scenario.fleet.kinds.back().replica.speed = *rc::gen::inRange(1, 400) / 64.0;
  scenario.fleet.kinds.back().replica.slow_start_window = *rc::gen::inRange<Time>(0, 60'000'000);
  scenario.classes.front().name = *rc::gen::string<std::string>();
  for (char& c : scenario.classes.front().name)
    c = static_cast<char>(' ' + static_cast<unsigned char>(c) % 94);
  scenario.classes.front().latency_objective = *rc::gen::inRange<Time>(1'000, 9'000'000);
  scenario.classes.resize(*rc::gen::inRange<std::size_t>(1, 3), scenario.classes.front());
  for (int n = *rc::gen::inRange(0, 4); n > 0; --n) {
    FaultSpec f;
    f.what = *rc::gen::elementOf(emulator::FaultNames());
    f.at = *rc::gen::inRange(0, 200) / 8.0;
    f.count = *rc::gen::inRange(1, 9);
    f.one_way = *rc::gen::arbitrary<bool>();
    f.factor = *rc::gen::inRange(0, 99) / 3.0;
    scenario.faults.push_back(f);
  }
  const std::string text = WriteExperiment("n", "t", scenario);
  const Experiment e = ParseExperiment("written", text);
  RC_ASSERT(e.cells.size() == 1U);
  RC_ASSERT(e.Scenario(0).seed == scenario.seed);
  ScenarioSpec read = e.Scenario(0);
  RC_ASSERT(WriteExperiment("n", "t", read) == text);
  RC_ASSERT(read.seconds == scenario.seconds && read.clients.per_second == scenario.clients.per_second);
  RC_ASSERT(read.faults.size() == scenario.faults.size() && read.classes.size() == scenario.classes.size());
  RC_ASSERT(read.fleet.kinds.back().replica.slow_start_window ==
            scenario.fleet.kinds.back().replica.slow_start_window);
  RC_ASSERT(read.classes.front().name == scenario.classes.front().name);
}

std::string Bytes(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

TEST(Run, OneWorkerAndFourWriteTheSameBytes) {
  const ScratchDir at;
  const Experiment e = ParseExperiment("small.toml", kSmallExperiment);
  for (const int workers : {1, 4}) {
    RunOptions o;
    o.out = at / std::to_string(workers);
    o.workers = workers;
    const RunOutcome r = RunExperiment(e, o);
    EXPECT_EQ(r.completed, 12U);
    EXPECT_EQ(r.violations, 0U);
  }
  EXPECT_GT(Bytes(at / "1").size(), 1000U);
  EXPECT_TRUE(Bytes(at / "1") == Bytes(at / "4"));
}

TEST(Run, AnInterruptedRunContinuesToTheSameResult) {
  const ScratchDir at;
  const Experiment e = ParseExperiment("small.toml", kSmallExperiment);
  RunOptions whole;
  whole.out = at / "whole";
  RunExperiment(e, whole);
  RunOptions cut;
  cut.out = at / "cut";
  cut.workers = 2;
  std::atomic<std::size_t> done = 0;
  cut.progress = [&](std::size_t n, std::size_t) { done = n; };
  cut.stop = [&] { return done >= 4; };
  const RunOutcome first = RunExperiment(e, cut);
  EXPECT_GE(first.completed, 4U);
  EXPECT_GT(first.left, 0U);
  cut.stop = nullptr;
  const RunOutcome second = RunExperiment(e, cut);
  EXPECT_EQ(second.found, first.completed);
  EXPECT_EQ(second.found + second.completed, 12U);
  EXPECT_TRUE(Bytes(at / "whole") == Bytes(at / "cut"));
  // With nothing left to run, the file stays unchanged.
  EXPECT_EQ(RunExperiment(e, cut).completed, 0U);
}

TEST(Run, TheFileOfAnotherExperimentIsRejected) {
  const ScratchDir at;
  RunOptions o;
  o.out = at / "r";
  RunExperiment(ParseExperiment("small.toml", kSmallExperiment), o);
  std::string other = kSmallExperiment;
  other.replace(other.find("60/s"), 4, "61/s");
  try {
    RunExperiment(ParseExperiment("other.toml", other), o);
    FAIL() << "accepted";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("other simulations"), std::string::npos) << e.what();
  }
  o.rerun = true;
  EXPECT_EQ(RunExperiment(ParseExperiment("other.toml", other), o).completed, 12U);
}

// A limit on the file size makes writes fail in the same way as a full disk.
TEST(Run, AFullDiskKeepsTheOldFileAndIsReported) {
  const ScratchDir at;
  const Experiment e = ParseExperiment("small.toml", kSmallExperiment);
  RunOptions o;
  o.out = at / "r";
  std::atomic<std::size_t> done = 0;
  o.progress = [&](std::size_t n, std::size_t) { done = n; };
  o.stop = [&] { return done >= 3; };
  RunExperiment(e, o);
  const std::string before = Bytes(o.out);
  o.stop = nullptr;
  o.save_interval_s = 0;
  signal(SIGXFSZ, SIG_IGN);
  rlimit old{};
  getrlimit(RLIMIT_FSIZE, &old);
  const rlimit small{before.size() / 2, old.rlim_max};
  setrlimit(RLIMIT_FSIZE, &small);
  std::string error;
  try {
    RunExperiment(e, o);
  } catch (const std::runtime_error& thrown) {
    error = thrown.what();
  }
  setrlimit(RLIMIT_FSIZE, &old);
  EXPECT_NE(error.find(o.out), std::string::npos) << error;
  EXPECT_TRUE(Bytes(o.out) == before);
  EXPECT_EQ(RunExperiment(e, o).found, 3U);
}

TEST(Results, DamagedAndForeignFilesAreRejected) {
  const ScratchDir at;
  RunOptions o;
  o.out = at / "r";
  RunExperiment(ParseExperiment("small.toml", kSmallExperiment), o);
  const std::string whole = Bytes(o.out);
  const auto error = [&](const std::string& bytes) -> std::string {
    std::ofstream(at / "x", std::ios::binary) << bytes;
    try {
      ReadResults(at / "x");
      return "";
    } catch (const std::runtime_error& e) {
      return e.what();
    }
  };
  EXPECT_NE(error("").find("not an HDF5 file of tables"), std::string::npos);
  EXPECT_NE(error("name = 'a'\n").find("not an HDF5 file of tables"), std::string::npos);
  for (const std::size_t part : {8U, 3U, 2U}) EXPECT_NE(error(whole.substr(0, whole.size() / part)), "");
  EXPECT_EQ(error(whole), "");
  WriteColumns(at / "x", {{{"what", "something else"}}, {}});
  EXPECT_THROW(ReadResults(at / "x"), std::runtime_error);
}

TEST(Results, AreReadBackUnchanged) {
  const ScratchDir at;
  RunOptions o;
  o.out = at / "r";
  const Experiment e = ParseExperiment("small.toml", kSmallExperiment);
  RunExperiment(e, o);
  const Results r = ReadResults(o.out);
  ASSERT_EQ(r.rows.size(), 12U);
  const emulator::ScenarioResult result = RunScenario(e.Scenario(7));
  const ScenarioRow fresh = RowOf(7, e.Scenario(7), result);
  EXPECT_EQ(r.rows[7].measures, fresh.measures);
  EXPECT_EQ(r.rows[7].counts, fresh.counts);
  EXPECT_EQ(r.rows[7].first_token, fresh.first_token);
  EXPECT_EQ(r.rows[7].served_in, fresh.served_in);
  EXPECT_EQ(r.rows[7].series.size(), fresh.series.size());
  EXPECT_GT(fresh.served_in.size(), 2U);
  // The report has every policy and measure; a result compared with itself has no difference.
  const std::string report = ReportMarkdown(r, {"p.svg"});
  for (const char* word :
       {"random", "p99", "Rule violations: router 0, random 0", "rate = \"60/s\"", "p.svg", "| load |"})
    EXPECT_NE(report.find(word), std::string::npos) << word;
  EXPECT_EQ(ReportCharts(r, "x", "svg").size(), 4U);
  std::size_t differs = 9;
  CompareResults(r, r, &differs);
  EXPECT_EQ(differs, 0U);
}

TEST(Statistics, PairedDifferencesAndHolmsProcedure) {
  const Difference none = PairedDifference({1, 2, 3}, {1, 2, 3});
  EXPECT_EQ(none.interval.mean, 0);
  EXPECT_EQ(none.p, 1);
  // Differences 1, 2, 3: t = 2 / (1 / sqrt 3) = 3.4641 with two degrees of freedom, p = 0.0742.
  const Difference some = PairedDifference({1, 1, 1}, {2, 3, 4});
  EXPECT_NEAR(some.p, 0.0742, 0.0001);
  EXPECT_EQ(PairedDifference({1, std::nan(""), 1}, {2, 3, 4}).pairs, 2U);
  EXPECT_EQ(PairedDifference({1}, {2}).p, 1);
  EXPECT_EQ(HolmSignificant({0.01, 0.04, 0.03, 0.005}), (std::vector<bool>{true, false, false, true}));
  EXPECT_EQ(HolmSignificant({}), std::vector<bool>{});
}

// A constant shift of one measure is found in every cell and policy, and in no other measure. Results with
// different seeds can't be compared.
TEST(Statistics, CompareFindsRealDifferences) {
  std::string text = kSmallExperiment;
  text.replace(text.find("seeds = 3"), 9, "seeds = 6");
  text.replace(text.find("60/s"), 4, "90/s");
  Results a;
  a.experiment = ParseExperiment("a", text);
  for (std::size_t n = 0; n < a.experiment.simulations(); ++n)
    a.rows.push_back(RowOf(n, a.experiment.Scenario(n), RunScenario(a.experiment.Scenario(n))));
  Results b = a;
  for (ScenarioRow& row : b.rows)
    row.measures["share"] -= 0.1 + 0.001 * static_cast<double>(row.simulation % 3);
  std::size_t differs = 0;
  const std::string table = CompareResults(a, b, &differs);
  EXPECT_EQ(differs, 4U) << table;  // the share in two cells and with two policies
  EXPECT_NE(table.find("worse"), std::string::npos);
  b.experiment = ParseExperiment("b", kSmallExperiment);
  EXPECT_THROW(CompareResults(a, b, &differs), std::runtime_error);
}

// The failure needs two of the seven faults, three replicas, 20 requests per second and 12 s; all else must
// be removed.
TEST(Shrinking, FindsTheSmallestScenarioThatFails) {
  ScenarioSpec scenario;
  scenario.seconds = 300;
  scenario.warm_up_s = 30;
  scenario.clients.per_second = 4'000;
  scenario.fleet.replicas = 500;
  scenario.fleet.nodes = 16;
  scenario.fleet.zones = 3;
  scenario.classes.resize(4);
  for (const char* what : {"dark", "slow", "rack", "drain", "late", "vanish", "load"}) {
    FaultSpec f;
    f.what = what;
    f.at = 100;
    scenario.faults.push_back(f);
  }
  const auto fails = [](const ScenarioSpec& x) {
    int needed = 0;
    for (const FaultSpec& f : x.faults) needed += f.what == "slow" || f.what == "vanish" ? 1 : 0;
    return needed == 2 && x.fleet.replicas >= 3 && x.clients.per_second >= 20 && x.seconds >= 12;
  };
  const ShrinkResult s = Shrink(scenario, fails);
  EXPECT_TRUE(s.done);
  EXPECT_TRUE(fails(s.scenario));
  EXPECT_EQ(s.scenario.faults.size(), 2U);
  EXPECT_EQ(s.scenario.fleet.replicas, 3);
  EXPECT_EQ(s.scenario.fleet.nodes, 1);
  EXPECT_EQ(s.scenario.classes.size(), 1U);
  EXPECT_LT(s.scenario.clients.per_second, 22);
  EXPECT_LT(s.scenario.seconds, 13);
  EXPECT_LT(s.size, 0.001 * s.size_before);
  EXPECT_THROW(Shrink(scenario, [](const ScenarioSpec&) { return false; }), std::runtime_error);
  ShrinkOptions few;
  few.max_runs = 5;
  const ShrinkResult truncated = Shrink(scenario, fails, few);
  EXPECT_FALSE(truncated.done);
  EXPECT_EQ(truncated.runs, 5U);
  EXPECT_TRUE(fails(truncated.scenario));
}

// A policy that never answers. All requests end at their clients' deadlines.
class SilentPolicy : public emulator::NodePolicy {
 public:
  void Handle(Time, const policy::Event&, std::vector<policy::Action>&) override {}
};

TEST(Shrinking, AShrunkScenarioStillViolatesTheRule) {
  Experiment e = ParseExperiment("small.toml", kSmallExperiment);
  ScenarioOptions options;
  options.policy = [](int node, const policy::Settings& s,
                      Time now) -> std::unique_ptr<emulator::NodePolicy> {
    if (node == 1) return std::make_unique<SilentPolicy>();
    return emulator::MakePolicy("two-choices", s, 1, now, {});
  };
  const auto fails = [&](const ScenarioSpec& scenario) {
    return RunScenario(scenario, options).violations.no_answer > 0;
  };
  const ShrinkResult s = Shrink(e.cells[1].scenario, fails);
  EXPECT_TRUE(s.done);
  EXPECT_EQ(s.scenario.faults.size(), 0U);
  EXPECT_EQ(s.scenario.fleet.nodes, 2);  // the silent node has index 1, so two nodes are needed
  EXPECT_EQ(s.scenario.fleet.replicas, 1);
  const Experiment small = ParseExperiment("shrunk", WriteExperiment("shrunk", "", s.scenario));
  EXPECT_TRUE(fails(small.Scenario(0)));
}

// Scenarios that `shrink` has produced: the policy that each names violates a rule in it, the Router does
// not.
TEST(ShrunkScenarios, TheRouterViolatesNoRuleWhereOthersDo) {
  std::size_t scenarios = 0;
  for (const auto& file : std::filesystem::directory_iterator(RYEGLADE_SCENARIOS)) {
    const Experiment e = ReadExperiment(file.path().string());
    emulator::ScenarioSpec scenario = e.Scenario(0);
    EXPECT_GT(RunScenario(scenario).violations.all(), 0U) << file.path();
    scenario.policy = "router";
    EXPECT_EQ(RunScenario(scenario).violations.Describe(), emulator::RuleViolations().Describe())
        << file.path();
    ++scenarios;
  }
  EXPECT_GT(scenarios, 0U);
}

// A policy that keeps setting timers with zero delay, so that virtual time can't advance.
class ZeroDelayTimerPolicy : public emulator::NodePolicy {
 public:
  void Handle(Time, const policy::Event&, std::vector<policy::Action>& actions) override {
    actions.push_back(policy::SetTimer{1, 0});
  }
};

TEST(Scenario, VirtualTimeThatStopsAdvancingIsAnError) {
  ScenarioSpec scenario;
  scenario.seconds = 5;
  scenario.warm_up_s = 1;
  ScenarioOptions options;
  options.policy = [](int, const policy::Settings&, Time) {
    return std::make_unique<ZeroDelayTimerPolicy>();
  };
  try {
    RunScenario(scenario, options);
    FAIL() << "ended";
  } catch (const std::runtime_error& e) {
    EXPECT_NE(std::string(e.what()).find("virtual time stopped advancing"), std::string::npos) << e.what();
  }
}

}  // namespace
}  // namespace ryeglade::experiment
