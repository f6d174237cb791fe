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
int PrintRow(const std::string& name, const char* rule, const SimulationTotals& s, bool print_ends) {
  const double n = s.runs;
  std::printf("%-28s %-10s %5d %6d %6d %6d %7d | %7.2f %10.0f %8.4f%% | %7.0f %zu\n", name.c_str(), rule,
              s.runs, s.done, s.stopped, s.other, s.stopped_in_first_stage, s.exposed_nodes / n,
              s.exposed_requests / n, 100 * s.worth_lost / s.worth, s.seconds / n, s.violations.size());
  for (std::size_t i = 0; i < std::min<std::size_t>(4, s.violations.size()); ++i)
    std::printf("  %s\n", s.violations[i].c_str());
  if (print_ends) {
    for (const std::string& end : s.ends) std::printf("  %s\n", end.c_str());
  }
  std::fflush(stdout);
  return s.violations.empty() ? 0 : 1;
}

std::vector<std::pair<std::string, ReleaseDefects>> DefectCases() {
  std::vector<std::pair<std::string, ReleaseDefects>> all(1, {"no worse (A/A)", {}});
  for (const int percent : {1, 2, 5, 20}) {
    ReleaseDefects h;
    h.failed_share = percent / 100.0;
    all.emplace_back("fails " + std::to_string(percent) + "% more", h);
  }
  for (const int percent : {10, 30, 100}) {
    ReleaseDefects h;
    h.first_token_slowdown = percent / 100.0;
    all.emplace_back("first token " + std::to_string(percent) + "% slower", h);
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
           {"does not start", [](ReleaseDefects& h) { h.does_not_start = true; }},
           {"never becomes ready", [](ReleaseDefects& h) { h.never_ready = true; }},
           {"reports no metrics", [](ReleaseDefects& h) { h.no_metrics = true; }},
           {"ignores SIGTERM", [](ReleaseDefects& h) { h.ignores_sigterm = true; }},
           {"unreadable at one node", [](ReleaseDefects& h) { h.unreadable_on_node = "n7"; }}}) {
    ReleaseDefects h;
    set(h);
    all.emplace_back(name, h);
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
  rollout_->add_flag("--ends", ends_, "print how the runs ended that were not done");
  rollout_->add_option("--workers", workers_, "number of threads")->check(CLI::Range(1, 256));
  rollout_
      ->add_option("--set", set_,
                   "harms: defective releases, with three rules that stop them; faults: drivers, supervisors "
                   "and links "
                   "that fail; world: a fleet that fails independently of the release; variants: faults "
                   "planted in the "
                   "program's rules, which must be detected")
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
  RolloutExploreOptions o;
  o.nodes = nodes_ > 0 ? nodes_ : 3;
  o.faults = faults_;
  o.workers = workers_;
  o.variant = variant_;
  const RolloutExploration e = ExploreRollout(o);
  const auto number = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  std::printf("%d nodes, %d faults%s%s: %llu states, %llu steps, %llu executions to their end\n", o.nodes,
              o.faults, o.variant.empty() ? "" : ", variant ", o.variant.c_str(), number(e.states),
              number(e.steps), number(e.executions));
  for (const auto& [end, n] : e.ends) std::printf("  %-42s %llu\n", end.c_str(), number(n));
  for (const auto& [name, n] : e.by_invariant)
    std::printf("broken: %s, %llu executions\n", name.c_str(), number(n));
  for (std::size_t i = 0; i < std::min<std::size_t>(5, e.violations.size()); ++i)
    std::printf("  %s: %s:%s\n", e.violations[i].invariant.c_str(), e.violations[i].what.c_str(),
                e.violations[i].trace.c_str());
  return e.violations.empty() ? 0 : 1;
}

int Commands::Real(const std::string& node_program) const {
  LocalTierTrial t;
  t.program = node_program;
  t.nodes = nodes_ > 0 ? static_cast<std::size_t>(nodes_) : 16;
  t.rate = rate_;
  t.kills = kills_;
  t.seed = static_cast<std::uint64_t>(seed_);
  const LocalTierTrialResult r = RunLocalTierTrial(t);
  std::printf(
      "%zu nodes, %.0f requests per second each: %d of %d rollouts done in %.1f s in total, %d drivers "
      "killed, "
      "at most %zu nodes changing at once\n"
      "share of the requested worth that was served: %.4f before, %.4f during (ratio %.4f)\n"
      "%llu requests: %llu unanswered, %llu failed or broken, %llu overlapping attempts\n",
      t.nodes, t.rate, r.done, r.rollouts, r.seconds, r.drivers_killed, r.max_in_change, r.worth_share_before,
      r.worth_share_during, r.worth_share_during / std::max(1e-9, r.worth_share_before),
      static_cast<unsigned long long>(r.asked), static_cast<unsigned long long>(r.unanswered),
      static_cast<unsigned long long>(r.other), static_cast<unsigned long long>(r.overlapping_attempts));
  for (const std::string& b : r.violations) std::printf("broken: %s\n", b.c_str());
  return r.violations.empty() ? 0 : 1;
}

int Commands::Run(const std::string& node_program) {
  if (explore_) return Explore();
  if (real_) return Real(node_program);
  int bad = 0;
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
        bad += PrintRow(name, rule_name, RunSimulations(s, runs_, workers_), ends_);
      }
    }
    return bad > 0 ? 1 : 0;
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
    bad += PrintRow(name, "verdict", RunSimulations(s, runs_, workers_), ends_);
  return bad > 0 ? 1 : 0;
}

}  // namespace ryeglade::rollout_lab
