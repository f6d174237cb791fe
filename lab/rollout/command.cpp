#include "lab/rollout/command.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <utility>
#include <vector>

#include "lab/rollout/explorer.h"
#include "lab/rollout/local_tier_trial.h"
#include "lab/rollout/simulation.h"

namespace ryeglade::rollout_lab {
namespace {

void PrintHeader() {
  std::printf("%-28s %-10s %5s %6s %6s %6s %7s | %7s %10s %9s | %7s %s\n", "release", "rule", "runs", "done",
              "stop", "other", "stage 1", "nodes", "requests", "lost", "seconds", "broken");
}

// Returns 1 if a run violated an invariant, and 0 otherwise.
int PrintRow(const std::string& name, const char* rule, const SimulationTotals& totals, bool print_ends) {
  const double runs = totals.runs;
  std::printf("%-28s %-10s %5d %6d %6d %6d %7d | %7.2f %10.0f %8.4f%% | %7.0f %zu\n", name.c_str(), rule,
              totals.runs, totals.done, totals.stopped, totals.other, totals.stopped_in_first_stage,
              totals.exposed_nodes / runs, totals.exposed_requests / runs,
              100 * totals.worth_lost / totals.worth, totals.seconds / runs, totals.violations.size());
  for (std::size_t i = 0; i < std::min<std::size_t>(4, totals.violations.size()); ++i)
    std::printf("  %s\n", totals.violations[i].c_str());
  if (print_ends) {
    for (const std::string& end : totals.ends) std::printf("  %s\n", end.c_str());
  }
  std::fflush(stdout);
  return totals.violations.empty() ? 0 : 1;
}

std::vector<std::pair<std::string, ReleaseDefects>> DefectCases() {
  std::vector<std::pair<std::string, ReleaseDefects>> all(1, {"no worse (A/A)", {}});
  for (const int percent : {1, 2, 5, 20}) {
    ReleaseDefects defects;
    defects.failed_share = percent / 100.0;
    all.emplace_back("fails " + std::to_string(percent) + "% more", defects);
  }
  for (const int percent : {10, 30, 100}) {
    ReleaseDefects defects;
    defects.first_token_slowdown = percent / 100.0;
    all.emplace_back("first token " + std::to_string(percent) + "% slower", defects);
  }
  ReleaseDefects rejects;
  rejects.rejected_share = 0.5;
  rejects.only_class = "agent";
  all.emplace_back("rejects half of `agent`", rejects);
  ReleaseDefects leaks;
  leaks.leak_bytes_per_second = 100 * 1024;
  all.emplace_back("leaks 100 KiB/s", leaks);
  ReleaseDefects crashes;
  crashes.crash_at_request = 50;
  all.emplace_back("crashes at the 50th request", crashes);
  for (const auto& [name, set] : std::vector<std::pair<std::string, void (*)(ReleaseDefects&)>>{
           {"does not start", [](ReleaseDefects& defects) { defects.does_not_start = true; }},
           {"never becomes ready", [](ReleaseDefects& defects) { defects.never_ready = true; }},
           {"reports no metrics", [](ReleaseDefects& defects) { defects.no_metrics = true; }},
           {"ignores SIGTERM", [](ReleaseDefects& defects) { defects.ignores_sigterm = true; }},
           {"unreadable at one node", [](ReleaseDefects& defects) { defects.unreadable_on_node = "n7"; }}}) {
    ReleaseDefects defects;
    set(defects);
    all.emplace_back(name, defects);
  }
  return all;
}

}  // namespace

Commands::Commands(CLI::App& app) {
  rollout_ = app.add_subcommand(
      "rollout",
      "simulate rollouts in virtual time, with the program's own supervisors, drivers and canary analysis");
  rollout_->add_option("--runs", runs_, "runs for each row of the table, with consecutive seeds")
      ->check(CLI::Range(1, 100'000));
  rollout_->add_option("--seed", seed_, "seed of the first run");
  rollout_->add_flag("--ends", ends_, "print the outcome of each run that was not done");
  rollout_->add_option("--workers", workers_, "number of threads")->check(CLI::Range(1, 256));
  rollout_
      ->add_option("--set", set_,
                   "harms: defective releases, with three rules that stop them; faults: drivers, supervisors "
                   "and links that fail; world: a fleet that fails independently of the release; "
                   "variants: faults planted in the program's rules, which must be detected")
      ->check(CLI::IsMember({"harms", "faults", "world", "variants"}));
  rollout_->add_flag("--explore", explore_,
                     "explore every execution over --nodes nodes with up to --faults faults instead");
  rollout_->add_flag("--real", real_, "measure rollouts over a tier of real processes under load instead");
  rollout_->add_option("--nodes", nodes_, "number of nodes, for --explore (2 to 5) and --real")
      ->check(CLI::Range(2, 64));
  rollout_->add_option("--rate", rate_, "requests per second at each node, for --real")
      ->check(CLI::Range(1.0, 500.0));
  rollout_->add_option("--kills", kills_, "number of drivers to kill at random moments, for --real")
      ->check(CLI::Range(0, 10'000));
  rollout_->add_option("--faults", faults_, "largest number of faults in an execution, for --explore")
      ->check(CLI::Range(0, 4));
  rollout_
      ->add_option("--variant", variant_,
                   "a fault planted in the program's rules, which must be detected; for --explore")
      ->check(CLI::IsMember({"any-epoch", "no-lease", "no-token", "greedy", "forgetful", "hasty"}));
}

bool Commands::chosen() const { return rollout_->parsed(); }

int Commands::Explore() const {
  RolloutExploreOptions options;
  options.nodes = nodes_ > 0 ? nodes_ : 3;
  options.faults = faults_;
  options.workers = workers_;
  options.variant = variant_;
  const RolloutExploration exploration = ExploreRollout(options);
  const auto number = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  std::printf("%d nodes, %d faults%s%s: %llu states, %llu steps, %llu executions to their end\n",
              options.nodes, options.faults, options.variant.empty() ? "" : ", variant ",
              options.variant.c_str(), number(exploration.states), number(exploration.steps),
              number(exploration.executions));
  for (const auto& [end, n] : exploration.ends) std::printf("  %-42s %llu\n", end.c_str(), number(n));
  for (const auto& [name, n] : exploration.by_invariant)
    std::printf("broken: %s, %llu executions\n", name.c_str(), number(n));
  for (std::size_t i = 0; i < std::min<std::size_t>(5, exploration.violations.size()); ++i)
    std::printf("  %s: %s:%s\n", exploration.violations[i].invariant.c_str(),
                exploration.violations[i].what.c_str(), exploration.violations[i].trace.c_str());
  return exploration.violations.empty() ? 0 : 1;
}

int Commands::Real(const std::string& node_program) const {
  LocalTierTrial trial;
  trial.program = node_program;
  trial.nodes = nodes_ > 0 ? static_cast<std::size_t>(nodes_) : 16;
  trial.rate = rate_;
  trial.kills = kills_;
  trial.seed = static_cast<std::uint64_t>(seed_);
  const LocalTierTrialResult result = RunLocalTierTrial(trial);
  std::printf(
      "%zu nodes, %.0f requests per second each: %d of %d rollouts done in %.1f s in total, %d drivers "
      "killed, at most %zu nodes changing at once\n"
      "share of the requested worth that was served: %.4f before, %.4f during (ratio %.4f)\n"
      "%llu requests: %llu unanswered, %llu failed or broken, %llu overlapping attempts\n",
      trial.nodes, trial.rate, result.done, result.rollouts, result.seconds, result.drivers_killed,
      result.max_in_change, result.worth_share_before, result.worth_share_during,
      result.worth_share_during / std::max(1e-9, result.worth_share_before),
      static_cast<unsigned long long>(result.asked), static_cast<unsigned long long>(result.unanswered),
      static_cast<unsigned long long>(result.other),
      static_cast<unsigned long long>(result.overlapping_attempts));
  for (const std::string& violation : result.violations) std::printf("broken: %s\n", violation.c_str());
  return result.violations.empty() ? 0 : 1;
}

int Commands::Run(const std::string& node_program) {
  if (explore_) return Explore();
  if (real_) return Real(node_program);
  int violating_rows = 0;
  PrintHeader();
  if (set_ == "harms") {
    for (const auto& [name, defects] : DefectCases()) {
      for (const auto& [rule_name, rule] : {std::pair{"verdict", StopRule::kCanaryAnalysis},
                                            {"threshold", StopRule::kThreshold},
                                            {"at-once", StopRule::kAllAtOnce}}) {
        SimulationSpec s;
        s.seed = static_cast<std::uint64_t>(seed_);
        s.defects = defects;
        s.rule = rule;
        s.max_seconds = 900;
        violating_rows += PrintRow(name, rule_name, RunSimulations(s, runs_, workers_), ends_);
      }
    }
    return violating_rows > 0 ? 1 : 0;
  }
  std::vector<std::pair<std::string, SimulationSpec>> rows;
  SimulationSpec base;
  base.seed = static_cast<std::uint64_t>(seed_);
  base.soak_seconds = 10;
  base.requests = 100;
  base.nodes = 8;
  base.stages = {1, 2};
  base.max_seconds = 1500;
  const auto add = [&](const char* name, auto set) {
    SimulationSpec s = base;
    set(s);
    rows.emplace_back(name, s);
  };
  if (set_ == "faults") {
    add("drivers die", [](SimulationSpec& s) { s.driver_kill_probability = 0.003; });
    add("drivers die, 20% lost",
        [](SimulationSpec& s) { s.driver_kill_probability = 0.003, s.message_loss = 0.2; });
    add("two drivers", [](SimulationSpec& s) { s.concurrent_drivers = true, s.message_loss = 0.1; });
    add("drivers pause 30 s",
        [](SimulationSpec& s) { s.driver_pause_probability = 0.02, s.concurrent_drivers = true; });
    add("supervisors die", [](SimulationSpec& s) { s.supervisor_kills_per_second = 0.01; });
    add("supervisors and drivers die", [](SimulationSpec& s) {
      s.supervisor_kills_per_second = 0.005, s.driver_kill_probability = 0.002, s.message_loss = 0.1;
    });
    add("nodes die", [](SimulationSpec& s) { s.node_kills_per_second = 0.0005; });
    add("3 of 8 cut for 60 s", [](SimulationSpec& s) {
      s.partition_first = 5, s.partition_last = 7, s.partition_at = 15, s.partition_seconds = 60;
    });
    add("5 of 8 cut for 60 s", [](SimulationSpec& s) {
      s.partition_first = 3, s.partition_last = 7, s.partition_at = 15, s.partition_seconds = 60;
    });
    add("a machine disappears", [](SimulationSpec& s) { s.lost_machine = 4, s.lost_machine_at = 20; });
    add("bad release, drivers die", [](SimulationSpec& s) {
      s.driver_kill_probability = 0.003, s.message_loss = 0.1, s.defects.failed_share = 0.3;
    });
    add("bad release, 3 nodes cut", [](SimulationSpec& s) {
      s.defects.failed_share = 0.1, s.partition_first = 5, s.partition_last = 7, s.partition_at = 30,
      s.partition_seconds = 60;
    });
    add("3 requests a minute", [](SimulationSpec& s) { s.rate = 0.05, s.max_seconds = 4000; });
  } else if (set_ == "world") {
    add("fleet fails 30%, 60 s", [](SimulationSpec& s) {
      s.fleet_failure_at = 9, s.fleet_failure_seconds = 60, s.fleet_failure_share = 0.3;
    });
    add("fleet fails 10%, 60 s", [](SimulationSpec& s) {
      s.fleet_failure_at = 9, s.fleet_failure_seconds = 60, s.fleet_failure_share = 0.1;
    });
    add("load doubled, 60 s",
        [](SimulationSpec& s) { s.load_peak_at = 9, s.load_peak_seconds = 60, s.load_peak_factor = 2; });
    add("fleet and release fail 10%", [](SimulationSpec& s) {
      s.fleet_failure_at = 9, s.fleet_failure_seconds = 60, s.fleet_failure_share = 0.1,
      s.defects.failed_share = 0.1;
    });
  } else {
    add("any epoch accepted", [](SimulationSpec& s) {
      s.accepts_any_epoch = true, s.concurrent_drivers = true, s.message_loss = 0.1,
      s.driver_pause_probability = 0.02;
    });
    add("no lease", [](SimulationSpec& s) {
      s.no_lease = true, s.concurrent_drivers = true, s.driver_pause_probability = 0.05, s.message_loss = 0.3;
    });
    add("at_once ignored", [](SimulationSpec& s) { s.ignores_max_concurrent = true; });
    add("last good release forgotten",
        [](SimulationSpec& s) { s.forgets_last_good = true, s.supervisor_kills_per_second = 0.02; });
    int detected = 0;
    for (const auto& [name, s] : rows)
      detected += PrintRow(name, "verdict", RunSimulations(s, runs_, workers_), ends_);
    return detected == static_cast<int>(rows.size()) ? 0 : 1;
  }
  for (const auto& [name, s] : rows)
    violating_rows += PrintRow(name, "verdict", RunSimulations(s, runs_, workers_), ends_);
  return violating_rows > 0 ? 1 : 0;
}

}  // namespace ryeglade::rollout_lab
