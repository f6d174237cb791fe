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

void Say(const ScenarioSpec& day, const ScenarioResult& r, double seconds) {
  std::printf("%d nodes (%s), %d replicas, %.0f s, seed %llu: %llu requests counted\n", day.fleet.nodes,
              day.policy.c_str(), day.fleet.replicas, day.seconds, static_cast<unsigned long long>(day.seed),
              static_cast<unsigned long long>(r.requests));
  std::printf("  worth %.0f of %.0f (%.4f)\n", r.worth, r.worth_asked, r.Share());
  std::printf("  in time %llu, late %llu, refused %llu, failed %llu, broken %llu, lost %llu\n",
              static_cast<unsigned long long>(r.in_time), static_cast<unsigned long long>(r.late),
              static_cast<unsigned long long>(r.refused), static_cast<unsigned long long>(r.failed),
              static_cast<unsigned long long>(r.broken), static_cast<unsigned long long>(r.lost));
  std::printf("  first token p50 %.0f ms, p90 %.0f ms, p99 %.0f ms\n", r.Quantile(0.5), r.Quantile(0.9),
              r.Quantile(0.99));
  std::printf(
      "  attempts %llu for %llu tries, %.4f of them wasted; %.3f of prompt tokens kept; %llu put back\n",
      static_cast<unsigned long long>(r.attempts), static_cast<unsigned long long>(r.tries), r.wasted_share,
      r.kept_share, static_cast<unsigned long long>(r.preempted));
  const auto [least, most] = std::minmax_element(r.served_by_replica.begin(), r.served_by_replica.end());
  std::printf("  served by a replica: %.0f to %.0f\n", *least, *most);
  std::printf("  rules: %s\n", r.violations.Describe().c_str());
  std::printf(
      "  %llu events, %llu decisions in %.2f s: %.0f requests/s of wall time, policy %.2f s of CPU (%.1f us "
      "a try)\n",
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
      throw std::runtime_error("--fault " + text + ": '" + parts[n] +
                               "' is no number; the form is WHAT:AT:LASTS[:FIRST[:COUNT[:FACTOR[:OTHER]]]]");
    return value;
  };
  FaultSpec f;
  f.what = parts[0];
  const std::vector<std::string> names = FaultNames();
  if (std::find(names.begin(), names.end(), f.what) == names.end()) {
    std::string all;
    for (const std::string& n : names) all += (all.empty() ? "" : ", ") + n;
    throw std::runtime_error("--fault " + text + ": '" + f.what + "' is none of " + all);
  }
  if (parts.size() < 3)
    throw std::runtime_error("--fault " + text + ": needs a time and a length in seconds, as restart:60:10");
  f.at = number(1, 0);
  f.lasts = number(2, 10);
  f.first = static_cast<int>(number(3, 0));
  f.count = static_cast<int>(number(4, 1));
  f.factor = number(5, 4);
  f.other = static_cast<int>(number(6, -1));
  return f;
}

namespace {

// An empty text: the value is taken; else what is wrong with it.
std::string IsGossipValue(const std::string& value) {
  const RoutingTierSpec spec{.gossip_mode = value};
  return spec.IsValid() ? "" : fmt::format("'{}' must be {}", value, kGossipValues);
}

}  // namespace

Commands::Commands(CLI::App& app,
                   std::function<int(const std::string& a, const std::string& b)> compare_files)
    : compare_files_(std::move(compare_files)) {
  day_ = app.add_subcommand("day", "play one emulated day and say what came of it");
  compare_ = app.add_subcommand("compare",
                                "play the same days with several policies and loads; or say how two results "
                                "files differ: compare A B");
  compare_->add_option("results", results_, "two results files of `run`, instead of days to play")
      ->expected(0, 2);
  Options(day_);
  Options(compare_);
  day_->add_option("--policy", policy_)->check(CLI::IsMember(PolicyNames()));
  day_->add_flag("--series", series_, "a line for each second, as CSV, instead");
  compare_->add_option("--policies", policies_)->delimiter(',')->check(CLI::IsMember(PolicyNames()));
  compare_->add_option("--loads", loads_, "times the rate")->delimiter(',')->check(CLI::Range(0.0, 100.0));
  compare_->add_option("--seeds", seeds_, "days of each")->check(CLI::Range(1, 10'000));
  compare_->add_option("--workers", workers_, "days at once; 0: as many as there are cores")
      ->check(CLI::Range(0, 256));
  compare_->add_flag("--markdown", markdown_, "the table as Markdown");
  compare_->add_option("--chart", chart_, "draw it: a name ending in .svg or .png");
  compare_->add_option("--title", title_);
}

void Commands::Options(CLI::App* c) {
  c->add_option("--replicas", spec_.fleet.replicas)->check(CLI::Range(1, 100'000));
  c->add_option("--nodes", spec_.fleet.nodes)->check(CLI::Range(1, 4096));
  c->add_option("--zones", spec_.fleet.zones)->check(CLI::Range(1, 64));
  c->add_option("--rate", spec_.clients.per_second, "requests a second")->check(CLI::Range(0.0, 1e7));
  c->add_option("--seconds", spec_.seconds)->check(CLI::Range(1.0, 1e6));
  c->add_option("--warm", spec_.warm_up_s, "seconds at the begin that are not counted");
  c->add_option("--seed", spec_.seed);
  c->add_option("--skew", spec_.fleet.skew, "sigma of the logarithm of each node's part of the traffic")
      ->check(CLI::Range(0.0, 3.0));
  c->add_option("--talk", spec_.fleet.tier.gossip_mode,
                "nodes gossip on what comes to them: " + std::string(kGossipValues))
      ->check(IsGossipValue);
  c->add_option("--talk-loss", spec_.fleet.tier.loss, "share of those words that is lost")
      ->check(CLI::Range(0.0, 1.0));
  c->add_option("--fault", faults_, "WHAT:AT:LASTS[:FIRST[:COUNT[:FACTOR[:OTHER]]]]");
  c->add_option("--cold", cold_s_, "seconds until a replica that starts is warm")
      ->check(CLI::Range(0.0, 3600.0));
  c->add_option("--cold-from", cold_from_, "the share of its speed that it starts with")
      ->check(CLI::Range(0.01, 1.0));
  c->add_option("--wave", spec_.clients.wave, "amplitude of a sine in the rate")->check(CLI::Range(0.0, 1.0));
  c->add_option("--honours", spec_.clients.honors_retry_after, "share of clients that wait as they are told")
      ->check(CLI::Range(0.0, 1.0));
}

bool Commands::chosen() const { return day_->parsed() || compare_->parsed(); }

ScenarioSpec Commands::Day() const {
  ScenarioSpec day = spec_;
  for (const std::string& text : faults_) day.faults.push_back(ReadFault(text));
  for (KindSpec& k : day.fleet.kinds) {
    k.replica.slow_start_window = static_cast<Time>(cold_s_ * 1e6);
    if (cold_s_ > 0) k.replica.slow_start_min_share = cold_from_;
  }
  return day;
}

int Commands::Run() {
  const auto progress = lab::ProgressLine();
  const double began = WallNow();
  if (day_->parsed()) {
    ScenarioSpec day = Day();
    day.policy = policy_;
    ScenarioOptions options;
    options.measure_policy = true;
    if (progress) options.progress = [&](double done) { progress(std::min(1.0, done)); };
    const ScenarioResult r = RunScenario(day, options);
    if (!series_) {
      Say(day, r, WallNow() - began);
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
  if (results_.size() == 1) throw std::runtime_error("compare: give two results files, or none");
  if (results_.size() == 2) return compare_files_(results_[0], results_[1]);
  CompareOptions options;
  options.day = Day();
  options.policies = policies_;
  options.loads = loads_;
  options.seeds = seeds_;
  options.workers =
      workers_ > 0 ? workers_ : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  if (progress) {
    options.progress = [&](std::size_t done, std::size_t of) {
      progress(static_cast<double>(done) / static_cast<double>(of));
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
