// Tests of the emulator: its replicas against queueing theory, its rule checkers against policies that break
// the rules on purpose, and the reproducibility of its runs.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cmath>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "lab/emulator/command.h"
#include "lab/emulator/compare.h"
#include "lab/emulator/random.h"
#include "lab/emulator/simulation.h"

namespace ryeglade::emulator {
namespace {

using namespace policy;

// Returns the mean time in the system, in seconds, of `requests` requests that arrive as a Poisson process.
// The first twentieth is not counted.
double MeanTimeInSystem(const ReplicaSpec& spec, double per_second, double mean_tokens, int requests,
                        std::uint64_t seed) {
  Replica r(spec, 0);
  RandomStream arrivals(seed, RandomPurpose::kArrivals), sizes(seed, RandomPurpose::kSizes);
  std::map<std::uint64_t, Time> arrived_at;
  std::vector<JobEvent> events;
  double all = 0;
  int done = 0;
  Time now = 0;
  std::uint64_t id = 0;
  Time next = 0;
  const int skip = requests / 20;
  while (done < requests) {
    const Time work = r.Next();
    if (work <= next) {
      now = work;
      events.clear();
      r.Run(now, events);
      for (const JobEvent& e : events) {
        if (e.kind != JobEvent::Kind::kDone) continue;
        if (++done > skip) all += static_cast<double>(now - arrived_at[e.id]) / 1e6;
        arrived_at.erase(e.id);
      }
      continue;
    }
    now = next;
    Job job;
    job.id = ++id;
    job.prompt = 1;
    job.answer = std::max(1.0, std::round(sizes.Exponential(mean_tokens)));
    EXPECT_TRUE(r.Offer(now, job));
    arrived_at[job.id] = now;
    next = now + static_cast<Time>(arrivals.Exponential(1e6 / per_second));
  }
  return all / (done - skip);
}

ReplicaSpec ServerSpec(int slots) {
  ReplicaSpec s;
  s.base_us = 1000;
  s.per_running_us = s.per_context_us = s.per_read_us = 0;
  s.slots = slots;
  s.queue = 1 << 30;
  s.memory_tokens = 1e12;
  s.chunk = 1 << 20;
  return s;
}

// Service times are exponential with a mean of 0.5 s, in steps of 1 ms; the rounding to steps costs less than
// the tolerance of 2%.
TEST(QueueingTheory, OneServerIsMM1) {
  const double rate = 1.2, service = 0.5, rho = rate * service;
  EXPECT_NEAR(MeanTimeInSystem(ServerSpec(1), rate, 500, 400'000, 3) / (service / (1 - rho)), 1, 0.02);
}

TEST(QueueingTheory, FourServersAreMM4) {
  const double rate = 5.6, service = 0.5, a = rate * service;
  const int c = 4;
  double sum = 0, term = 1;
  for (int k = 0; k < c; ++k) {
    sum += term;
    term *= a / (k + 1);
  }
  const double erlang = term / (1 - a / c) / (sum + term / (1 - a / c));  // Erlang C
  const double wait = erlang * service / (c - a);
  EXPECT_NEAR(MeanTimeInSystem(ServerSpec(c), rate, 500, 400'000, 4) / (service + wait), 1, 0.02);
}

// If the duration of a step is proportional to the number of running requests, the replica is a
// processor-sharing queue, whose mean time in the system depends only on the mean of the sizes and not on
// their distribution.
TEST(QueueingTheory, StepsThatGrowWithTheBatchAreProcessorSharing) {
  ReplicaSpec s = ServerSpec(1 << 20);
  s.base_us = 0;
  s.per_running_us = 1000;
  const double rate = 1.2, service = 0.5;
  EXPECT_NEAR(MeanTimeInSystem(s, rate, 500, 300'000, 5) / (service / (1 - rate * service)), 1, 0.02);
}

// Shortest remaining processing time first, with preemption: the mean time in the system by Schrage and
// Miller (Operations Research 14, 1966).
TEST(QueueingTheory, ShortestFirstIsMG1SRPT) {
  ReplicaSpec s = ServerSpec(1);
  s.shortest_first = true;
  const double rate = 1.2, service = 0.5;
  const auto density = [&](double t) { return std::exp(-t / service) / service; };
  const double dx = 0.001;
  double rho = 0, second = 0, inside = 0, mean = 0, cumulated = 0;
  for (double x = dx / 2; x < 20 * service; x += dx) {
    const double f = density(x) * dx;
    rho += rate * x * f;
    second += rate * x * x * f;
    inside += dx / (1 - rho);
    cumulated += f;
    mean += f * ((second + rate * x * x * (1 - cumulated)) / (2 * (1 - rho) * (1 - rho)) + inside);
  }
  EXPECT_LT(mean, 0.85 * service / (1 - rate * service));  // clearly below the value for M/M/1
  EXPECT_NEAR(MeanTimeInSystem(s, rate, 500, 400'000, 6) / mean, 1, 0.02);
}

// A plan of many steps as one event gives the same completion times as the same steps split into several
// plans.
RC_GTEST_PROP(ReplicaProperty, SplittingAPlanDoesNotChangeTheResult, ()) {
  ReplicaSpec spec;
  spec.slots = 6;
  spec.memory_tokens = 6000;
  spec.chunk = 128;
  const auto seed = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const auto run = [&](bool disturb) {
    Replica r(spec, 0);
    RandomStream s(seed, RandomPurpose::kSizes), disturbances(seed, RandomPurpose::kFailures);
    std::map<std::uint64_t, Time> done;
    std::vector<JobEvent> events;
    Time next = 0;
    std::uint64_t id = 0;
    const auto until = [&](Time to) {
      for (;;) {
        const Time work = r.Next();
        const Time disturbed =
            disturb ? static_cast<Time>(disturbances.Exponential(20'000)) : Replica::kNever;
        if (work > to) return;
        if (disturb && work > 30'000)
          r.SetSpeed(std::max<Time>(0, std::min(work, work - 1 - disturbed % 5'000)), 1);
        const Time at = r.Next();
        if (at > to) return;
        events.clear();
        r.Run(at, events);
        for (const JobEvent& e : events) {
          if (e.kind == JobEvent::Kind::kDone) done[e.id] = at;
        }
      }
    };
    for (int n = 0; n < 40; ++n) {
      until(next);
      Job job;
      job.id = ++id;
      job.prompt = std::ceil(s.Lognormal(300, 0.8));
      job.answer = std::ceil(s.Lognormal(40, 0.6));
      job.prompt = std::min(job.prompt, 2000.0);
      job.answer = std::min(job.answer, 500.0);
      r.Offer(next, job);
      next += static_cast<Time>(s.Exponential(60'000));
    }
    until(Replica::kNever - 1);
    RC_ASSERT(r.busy() == 0 && r.waiting() == 0);
    RC_ASSERT(std::abs(r.unread()) < 1e-3 && std::abs(r.used()) < 1e-3);
    return done;
  };
  const auto plain = run(false), disturbed = run(true);
  RC_ASSERT(plain.size() == disturbed.size());
  for (const auto& [id, at] : plain) RC_ASSERT(std::abs(static_cast<double>(at - disturbed.at(id))) <= 2000);
}

// After any sequence of offers and cancellations, memory and counts return to zero.
RC_GTEST_PROP(ReplicaProperty, AnEmptyReplicaHoldsNoMemory, ()) {
  ReplicaSpec spec;
  spec.slots = 4;
  spec.queue = 5;
  spec.memory_tokens = 3000;
  Replica r(spec, 0);
  Time now = 0;
  std::vector<JobEvent> events;
  std::map<std::uint64_t, bool> here;
  std::uint64_t id = 0;
  for (const int x : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100'000))) {
    now += x % 7000;
    while (r.Next() <= now) {
      events.clear();
      r.Run(r.Next(), events);
      for (const JobEvent& e : events) {
        if (e.kind == JobEvent::Kind::kDone) RC_ASSERT(here.erase(e.id) == 1U);
      }
    }
    if (x % 3 == 0 && !here.empty()) {
      r.Cancel(now, here.begin()->first);
      here.erase(here.begin());
    } else {
      Job job{++id,
              static_cast<double>(x % 900 + 1),
              static_cast<double>(x % 50 + 1),
              static_cast<std::uint64_t>(x % 4),
              static_cast<std::uint64_t>(x % 9),
              100};
      if (r.Offer(now, job)) here[job.id] = true;
    }
    RC_ASSERT(r.used() + r.cached() <= spec.memory_tokens + 1e-6 || r.busy() <= 1);
  }
  while (r.Next() != Replica::kNever) {
    events.clear();
    r.Run(r.Next(), events);
    for (const JobEvent& e : events) {
      if (e.kind == JobEvent::Kind::kDone) here.erase(e.id);
    }
  }
  RC_ASSERT(here.empty());
  RC_ASSERT(r.busy() == 0 && r.waiting() == 0 && std::abs(r.used()) < 1e-6 && std::abs(r.unread()) < 1e-6);
}

// ---- Scenarios ----

ScenarioSpec SmallScenario() {
  ScenarioSpec scenario;
  scenario.seconds = 40;
  scenario.warm_up_s = 10;
  scenario.fleet.nodes = 2;
  scenario.fleet.replicas = 6;
  scenario.clients.per_second = 60;
  return scenario;
}

std::string Summary(const ScenarioResult& r) {
  std::string out = std::to_string(r.worth) + " " + std::to_string(r.events) + " " +
                    std::to_string(r.attempts) + " " + std::to_string(r.Quantile(0.99));
  for (const double s : r.served_by_replica) out += " " + std::to_string(s);
  return out;
}

TEST(Scenario, TheSameSeedGivesTheSameResultAndEveryRequestIsCounted) {
  for (const std::string& policy : PolicyNames()) {
    ScenarioSpec scenario = SmallScenario();
    scenario.policy = policy;
    const ScenarioResult a = RunScenario(scenario), b = RunScenario(scenario);
    EXPECT_EQ(Summary(a), Summary(b)) << policy;
    EXPECT_EQ(a.requests, a.in_time + a.late + a.refused + a.failed + a.broken + a.lost) << policy;
    EXPECT_EQ(a.violations.all(), 0U) << policy << a.violations.Describe();
    EXPECT_GT(a.Share(), 0.9) << policy;
    scenario.seed = 2;
    EXPECT_NE(Summary(a), Summary(RunScenario(scenario)));
  }
}

TEST(Scenario, WorkersDoNotChangeTheResult) {
  CompareOptions o;
  o.scenario = SmallScenario();
  o.policies = {"router", "random"};
  o.loads = {0.5, 1.5};
  o.seeds = 3;
  const std::string one = CompareTable(Compare(o));
  o.workers = 4;
  EXPECT_EQ(one, CompareTable(Compare(o)));
}

TEST(Scenario, RunsWithoutAnyRequest) {
  ScenarioSpec scenario = SmallScenario();
  scenario.clients.per_second = 0;
  const ScenarioResult r = RunScenario(scenario);
  EXPECT_EQ(r.requests, 0U);
  EXPECT_EQ(r.Share(), 0);
  EXPECT_EQ(r.Quantile(0.5), 0);
}

TEST(Scenario, AnInvalidScenarioIsRejectedNamingTheField) {
  const auto error_of = [](const std::function<void(ScenarioSpec&)>& change) {
    ScenarioSpec scenario = SmallScenario();
    change(scenario);
    try {
      RunScenario(scenario);
    } catch (const std::runtime_error& e) {
      return std::string(e.what());
    }
    return std::string("taken");
  };
  EXPECT_NE(error_of([](ScenarioSpec& scenario) { scenario.fleet.nodes = 0; }).find("fleet.nodes"),
            std::string::npos);
  EXPECT_NE(error_of([](ScenarioSpec& scenario) { scenario.warm_up_s = 99; }).find("warm"),
            std::string::npos);
  EXPECT_NE(error_of([](ScenarioSpec& scenario) { scenario.faults.push_back({"drian"}); }).find("drian"),
            std::string::npos);
  EXPECT_NE(error_of([](ScenarioSpec& scenario) { scenario.policy = "rooter"; }).find("round-robin"),
            std::string::npos);
}

// Under every fault, the Router violates no rule and each request ends exactly once.
TEST(Scenario, TheRouterViolatesNoRuleUnderAnyFault) {
  for (const std::string& what : FaultNames()) {
    if (what == "invent") continue;
    ScenarioSpec scenario = SmallScenario();
    scenario.seconds = 60;
    scenario.fleet.zones = 2;
    scenario.fleet.replicas = 12;
    scenario.fleet.nodes = 4;
    scenario.fleet.kinds.front().replica.slow_start_window = 20'000'000;
    scenario.fleet.kinds.front().replica.slow_start_min_share = 0.2;
    FaultSpec f;
    f.what = what;
    f.at = 20;
    f.lasts = 15;
    f.count = what == "node-dies" || what == "zone" || what == "rack" ? 1 : 3;
    f.other = 1;
    f.factor = what == "load" ? 3 : 4;
    scenario.faults.push_back(f);
    if (what == "dark") scenario.faults.push_back({"restart", 22, 5, 0, 2});
    if (what == "contradict") scenario.faults.push_back({"drain", 21, 10, 0, 2});
    const ScenarioResult r = RunScenario(scenario);
    EXPECT_EQ(r.violations.all(), 0U) << what << ": " << r.violations.Describe();
    EXPECT_EQ(r.requests, r.in_time + r.late + r.refused + r.failed + r.broken + r.lost) << what;
    EXPECT_GT(r.Share(), 0.5) << what;
  }
}

TEST(Scenario, CachedPrefixesAreNotReadAgain) {
  ScenarioSpec scenario = SmallScenario();
  scenario.clients.prefixes = 4;
  scenario.clients.prefix_tokens = 3000;
  scenario.policy = "affinity";
  const double kept = RunScenario(scenario).cached_share;
  scenario.policy = "random";
  scenario.fleet.kinds.front().replica.memory_tokens = 12'000;  // cached prefixes are evicted soon
  EXPECT_GT(kept, 0.5);
  EXPECT_LT(RunScenario(scenario).cached_share, kept);
}

// ---- Each checker must find a policy that breaks its rule ----

class RuleBreakingPolicy : public NodePolicy {
 public:
  enum class Rule { kNoAnswer, kTwoAttempts, kAfterDrain, kTwoAnswers, kColdOverload };
  RuleBreakingPolicy(Rule rule, const Settings& s, Time now)
      : rule_(rule), inner_(MakePolicy("round-robin", s, 1, now, nullptr)) {}
  void Handle(Time now, const Event& event, std::vector<Action>& actions) override {
    if (const auto* a = std::get_if<RequestArrived>(&event)) {
      if (rule_ == Rule::kNoAnswer && a->id % 7 == 0) return;
      if (rule_ == Rule::kColdOverload) {
        actions.emplace_back(SendAttempt{a->id, 0, 0});
        return;
      }
      if (rule_ == Rule::kAfterDrain) {
        actions.emplace_back(SendAttempt{a->id, a->id % 2 == 0 ? 0U : 1U, 0});
        return;
      }
    }
    if (rule_ == Rule::kColdOverload || rule_ == Rule::kAfterDrain) {
      if (const auto* e = std::get_if<AttemptEnded>(&event); e != nullptr && e->outcome != Outcome::kServed)
        actions.emplace_back(RejectRequest{e->id, 0});
      return;
    }
    inner_->Handle(now, event, actions);
    if (!std::holds_alternative<RequestArrived>(event)) return;
    const RequestId id = std::get<RequestArrived>(event).id;
    if (rule_ == Rule::kTwoAttempts) actions.emplace_back(SendAttempt{id, 1, 0});
    if (rule_ == Rule::kTwoAnswers && id % 5 == 0) actions.emplace_back(RejectRequest{id, 0});
  }

 private:
  Rule rule_;
  std::unique_ptr<NodePolicy> inner_;
};

RuleViolations RunRuleBreaker(RuleBreakingPolicy::Rule rule, ScenarioSpec scenario = SmallScenario()) {
  ScenarioOptions o;
  o.policy = [&](int, const Settings& s, Time now) {
    return std::make_unique<RuleBreakingPolicy>(rule, s, now);
  };
  return RunScenario(scenario, o).violations;
}

TEST(Checkers, EachFindsAPolicyThatBreaksItsRule) {
  EXPECT_GT(RunRuleBreaker(RuleBreakingPolicy::Rule::kNoAnswer).no_answer, 10U);
  EXPECT_GT(RunRuleBreaker(RuleBreakingPolicy::Rule::kTwoAttempts).two_attempts, 100U);
  EXPECT_GT(RunRuleBreaker(RuleBreakingPolicy::Rule::kTwoAnswers).two_answers, 10U);
  ScenarioSpec drained = SmallScenario();
  drained.faults.push_back({"drain", 15, 15, 0, 1});
  EXPECT_GT(RunRuleBreaker(RuleBreakingPolicy::Rule::kAfterDrain, drained).after_drain, 10U);
  ScenarioSpec cold = SmallScenario();
  cold.fleet.kinds.front().replica.slow_start_window = 20'000'000;
  cold.fleet.kinds.front().replica.slow_start_min_share = 0.1;
  cold.faults.push_back({"restart", 12, 2, 0, 1});
  EXPECT_GT(RunRuleBreaker(RuleBreakingPolicy::Rule::kColdOverload, cold).cold_pushed, 0U);
  ScenarioSpec invented = SmallScenario();
  invented.faults.push_back({"invent", 15, 5, 0, 1});
  EXPECT_GT(RunScenario(invented).violations.not_made, 0U);
}

TEST(Compare, IntervalsFollowStudentsT) {
  const Interval i = IntervalOf({1, 2, 3, 4, 5});
  EXPECT_DOUBLE_EQ(i.mean, 3);
  EXPECT_NEAR(i.half, 2.776 * std::sqrt(2.5 / 5), 1e-3);
  EXPECT_EQ(IntervalOf({7}).half, 0);
}

// Runs `ryeglade-lab day --talk VALUE` on a small fleet and returns its exit code.
int RunWithTalk(const std::string& value) {
  CLI::App app;
  Commands commands(app, [](const std::string&, const std::string&) { return 0; });
  app.parse("day --replicas 4 --nodes 2 --rate 20 --seconds 3 --warm 1 --talk " + value);
  return commands.Run();
}

TEST(Commands, TalkTakesEachValueThatItsHelpOffers) {
  for (const char* value : {"talk", "oracle", "talk-parts", "talk-evidence", "oracle-beginnings"}) {
    EXPECT_EQ(RunWithTalk(value), 0) << value;
  }
  EXPECT_THROW(RunWithTalk("shares"), CLI::ValidationError);
}

}  // namespace
}  // namespace ryeglade::emulator
