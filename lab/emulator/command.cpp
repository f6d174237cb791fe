#include "lab/emulator/command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <chrono>
#include <cstdio>
#include <stdexcept>
#include <thread>

#include "base/gnuplot.h"
#include "lab/colon_parts.h"
#include "lab/progress.h"

namespace ryeglade::emulator {
namespace {

double WallNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

void PrintResult(const ScenarioSpec& scenario, const ScenarioResult& r, double seconds) {
  std::printf("%d nodes (%s), %d replicas, %.0f s, seed %llu: %llu requests counted\n", scenario.fleet.nodes,
              scenario.policy.c_str(), scenario.fleet.replicas, scenario.seconds,
              static_cast<unsigned long long>(scenario.seed), static_cast<unsigned long long>(r.requests));
  std::printf("  worth %.0f of %.0f (%.4f)\n", r.worth, r.worth_asked, r.Share());
  std::printf("  in time %llu, late %llu, refused %llu, failed %llu, broken %llu, lost %llu\n",
              static_cast<unsigned long long>(r.in_time), static_cast<unsigned long long>(r.late),
              static_cast<unsigned long long>(r.refused), static_cast<unsigned long long>(r.failed),
              static_cast<unsigned long long>(r.broken), static_cast<unsigned long long>(r.lost));
  std::printf("  first token p50 %.0f ms, p90 %.0f ms, p99 %.0f ms\n", r.Quantile(0.5), r.Quantile(0.9),
              r.Quantile(0.99));
  std::printf(
      "  attempts %llu for %llu tries, %.4f of them wasted; %.3f of prompt tokens cached; %llu preempted\n",
      static_cast<unsigned long long>(r.attempts), static_cast<unsigned long long>(r.tries), r.wasted_share,
      r.cached_share, static_cast<unsigned long long>(r.preempted));
  const auto [least, most] = std::minmax_element(r.served_by_replica.begin(), r.served_by_replica.end());
  std::printf("  served by a replica: %.0f to %.0f\n", *least, *most);
  std::printf("  rule violations: %s\n", r.violations.Describe().c_str());
  std::printf(
      "  %llu events, %llu decisions in %.2f s: %.0f requests/s of wall time, policy %.2f s of CPU (%.1f us "
      "per try)\n",
      static_cast<unsigned long long>(r.events), static_cast<unsigned long long>(r.decisions), seconds,
      static_cast<double>(r.tries) / seconds, r.policy_cpu_s,
      r.policy_cpu_s * 1e6 / static_cast<double>(std::max<std::uint64_t>(1, r.tries)));
}

}  // namespace

FaultSpec ReadFault(const std::string& text) {
  const std::vector<std::string> parts = lab::SplitAtColons(text);
  const auto number = [&](std::size_t n, double fallback) {
    if (n >= parts.size()) return fallback;
    std::size_t used = 0;
    double value = 0;
    try {
      value = std::stod(parts[n], &used);
    } catch (const std::exception&) {
      used = 0;
    }
    if (used == 0 || used != parts[n].size())
      throw std::runtime_error(
          "--fault " + text + ": '" + parts[n] +
          "' is not a number; the form is WHAT:AT:LASTS[:FIRST[:COUNT[:FACTOR[:OTHER]]]]");
    return value;
  };
  FaultSpec f;
  f.what = parts[0];
  const std::vector<std::string> names = FaultNames();
  if (std::find(names.begin(), names.end(), f.what) == names.end()) {
    std::string all;
    for (const std::string& n : names) all += (all.empty() ? "" : ", ") + n;
    throw std::runtime_error("--fault " + text + ": '" + f.what + "' is not one of " + all);
  }
  if (parts.size() < 3)
    throw std::runtime_error("--fault " + text +
                             ": needs a begin and a duration in seconds, as in restart:60:10");
  f.at = number(1, 0);
  f.lasts = number(2, 10);
  f.first = static_cast<int>(number(3, 0));
  f.count = static_cast<int>(number(4, 1));
  f.factor = number(5, 4);
  f.other = static_cast<int>(number(6, -1));
  return f;
}

namespace {

// A validator of CLI11: returns an empty text if the value is valid, else the error.
std::string IsGossipValue(const std::string& value) {
  const RoutingTierSpec spec{.gossip_mode = value};
  return spec.IsValid() ? "" : fmt::format("'{}' is invalid; must be {}", value, kGossipValues);
}

}  // namespace

Commands::Commands(CLI::App& app,
                   std::function<int(const std::string& a, const std::string& b)> compare_files)
    : compare_files_(std::move(compare_files)) {
  day_ = app.add_subcommand("day", "run one simulation and print its result");
  compare_ = app.add_subcommand("compare",
                                "run the same simulations with several policies and loads; or show how two "
                                "results files differ: compare A B");
  compare_->add_option("results", results_, "two results files of `run`, instead of simulations to run")
      ->expected(0, 2);
  AddScenarioOptions(day_);
  AddScenarioOptions(compare_);
  day_->add_option("--policy", policy_)->check(CLI::IsMember(PolicyNames()));
  day_->add_flag("--series", series_, "print CSV with one line per second instead of the summary");
  compare_->add_option("--policies", policies_)->delimiter(',')->check(CLI::IsMember(PolicyNames()));
  compare_->add_option("--loads", loads_, "factors by which --rate is multiplied, separated by commas")
      ->delimiter(',')
      ->check(CLI::Range(0.0, 100.0));
  compare_
      ->add_option("--seeds", seeds_, "number of simulations, each with its own seed, per policy and load")
      ->check(CLI::Range(1, 10'000));
  compare_->add_option("--workers", workers_, "simulations in parallel; 0: one for each core")
      ->check(CLI::Range(0, 256));
  compare_->add_flag("--markdown", markdown_, "print the table as Markdown");
  compare_->add_option("--chart", chart_, "write a chart to this file, ending in .svg or .png");
  compare_->add_option("--title", title_);
}

void Commands::AddScenarioOptions(CLI::App* c) {
  c->add_option("--replicas", spec_.fleet.replicas)->check(CLI::Range(1, 100'000));
  c->add_option("--nodes", spec_.fleet.nodes)->check(CLI::Range(1, 4096));
  c->add_option("--zones", spec_.fleet.zones)->check(CLI::Range(1, 64));
  c->add_option("--rate", spec_.clients.per_second, "requests per second")->check(CLI::Range(0.0, 1e7));
  c->add_option("--seconds", spec_.seconds)->check(CLI::Range(1.0, 1e6));
  c->add_option("--warm", spec_.warm_up_s,
                "length of the warm-up in seconds, whose requests are not counted");
  c->add_option("--seed", spec_.seed);
  c->add_option("--skew", spec_.fleet.skew, "sigma of the logarithm of the nodes' traffic weights")
      ->check(CLI::Range(0.0, 3.0));
  c->add_option("--talk", spec_.fleet.tier.gossip_mode,
                "gossip among the nodes: " + std::string(kGossipValues))
      ->check(IsGossipValue);
  c->add_option("--talk-loss", spec_.fleet.tier.loss, "share of gossip messages that is lost")
      ->check(CLI::Range(0.0, 1.0));
  c->add_option("--fault", faults_, "WHAT:AT:LASTS[:FIRST[:COUNT[:FACTOR[:OTHER]]]]");
  c->add_option("--cold", slow_start_s_,
                "seconds until a starting replica has warmed up; 0: it is warm at once")
      ->check(CLI::Range(0.0, 3600.0));
  c->add_option("--cold-from", slow_start_min_share_,
                "share of its full speed at which a starting replica begins")
      ->check(CLI::Range(0.01, 1.0));
  c->add_option("--wave", spec_.clients.wave, "amplitude of a sine in the rate")->check(CLI::Range(0.0, 1.0));
  c->add_option("--honours", spec_.clients.honors_retry_after, "share of clients that follow Retry-After")
      ->check(CLI::Range(0.0, 1.0));
}

bool Commands::chosen() const { return day_->parsed() || compare_->parsed(); }

ScenarioSpec Commands::Scenario() const {
  ScenarioSpec scenario = spec_;
  for (const std::string& text : faults_) scenario.faults.push_back(ReadFault(text));
  for (KindSpec& k : scenario.fleet.kinds) {
    k.replica.slow_start_window = static_cast<Time>(slow_start_s_ * 1e6);
    if (slow_start_s_ > 0) k.replica.slow_start_min_share = slow_start_min_share_;
  }
  return scenario;
}

int Commands::Run() {
  const auto progress = lab::ProgressLine();
  const double started = WallNow();
  if (day_->parsed()) {
    ScenarioSpec scenario = Scenario();
    scenario.policy = policy_;
    ScenarioOptions options;
    options.measure_policy = true;
    if (progress) options.progress = [&](double done) { progress(std::min(1.0, done)); };
    const ScenarioResult r = RunScenario(scenario, options);
    if (!series_) {
      PrintResult(scenario, r, WallNow() - started);
    } else {
      std::printf("second,arrived,worth_asked,worth,refused,held,caps,busy\n");
      for (std::size_t s = 0; s < r.seconds.size(); ++s) {
        const SecondStats& x = r.seconds[s];
        std::printf("%zu,%.0f,%.1f,%.1f,%.0f,%.0f,%.1f,%.0f\n", s, x.arrived, x.worth_asked, x.worth,
                    x.refused, x.held, x.caps, x.busy);
      }
    }
    return r.violations.all() == 0 ? 0 : 1;
  }
  if (results_.size() == 1)
    throw std::runtime_error(
        "compare: got one results file; give two to compare them, or none to run simulations");
  if (results_.size() == 2) return compare_files_(results_[0], results_[1]);
  CompareOptions options;
  options.scenario = Scenario();
  options.policies = policies_;
  options.loads = loads_;
  options.seeds = seeds_;
  options.workers =
      workers_ > 0 ? workers_ : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  if (progress) {
    options.progress = [&](std::size_t done, std::size_t total) {
      progress(static_cast<double>(done) / static_cast<double>(total));
    };
  }
  const std::vector<CompareRow> rows = Compare(options);
  std::fputs((markdown_ ? CompareMarkdown(rows) : CompareTable(rows)).c_str(), stdout);
  if (!chart_.empty()) {
    RunGnuplot(CompareChart(rows, chart_, title_));
  }
  std::uint64_t violations = 0;
  for (const CompareRow& r : rows) violations += r.violations;
  return violations == 0 ? 0 : 1;
}

}  // namespace ryeglade::emulator
