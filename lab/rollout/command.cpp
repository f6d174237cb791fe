#include "lab/rollout/command.h"

#include <CLI/CLI.hpp>
#include <cstdio>
#include <utility>
#include <vector>

#include "lab/rollout/explorer.h"
#include "lab/rollout/real.h"
#include "lab/rollout/simulation.h"

namespace ryeglade::rollout_lab {
namespace {

void Head() {
  std::printf("%-28s %-10s %5s %6s %6s %6s %7s | %7s %10s %9s | %7s %s\n", "release", "rule", "runs", "done",
              "stop", "other", "stage 1", "nodes", "requests", "lost", "seconds", "broken");
}

bool say_ends = false;

int Row(const std::string& name, const char* rule, const Set& s) {
  const double n = s.runs;
  std::printf("%-28s %-10s %5d %6d %6d %6d %7d | %7.2f %10.0f %8.4f%% | %7.0f %zu\n", name.c_str(), rule,
              s.runs, s.done, s.stopped, s.other, s.first_stage, s.nodes / n, s.requests / n,
              100 * s.lost / s.worth, s.seconds / n, s.broken.size());
  for (std::size_t i = 0; i < std::min<std::size_t>(4, s.broken.size()); ++i)
    std::printf("  %s\n", s.broken[i].c_str());
  if (say_ends) {
    for (const std::string& end : s.ends) std::printf("  %s\n", end.c_str());
  }
  std::fflush(stdout);
  return s.broken.empty() ? 0 : 1;
}

std::vector<std::pair<std::string, Harm>> Harms() {
  std::vector<std::pair<std::string, Harm>> all(1, {"no worse (A/A)", {}});
  for (const int percent : {1, 2, 5, 20}) {
    Harm h;
    h.failed = percent / 100.0;
    all.emplace_back("fails " + std::to_string(percent) + "% more", h);
  }
  for (const int percent : {10, 30, 100}) {
    Harm h;
    h.slower = percent / 100.0;
    all.emplace_back("first token " + std::to_string(percent) + "% slower", h);
  }
  Harm refuses;
  refuses.refused = 0.5;
  refuses.only_class = "agent";
  all.emplace_back("refuses half of `agent`", refuses);
  Harm leaks;
  leaks.leak = 100 * 1024;
  all.emplace_back("leaks 100 KiB/s", leaks);
  Harm crashes;
  crashes.crash_at = 50;
  all.emplace_back("crashes at the 50th request", crashes);
  for (const auto& [name, set] : std::vector<std::pair<std::string, void (*)(Harm&)>>{
           {"does not start", [](Harm& h) { h.does_not_start = true; }},
           {"never says ready", [](Harm& h) { h.never_ready = true; }},
           {"gives no figures", [](Harm& h) { h.no_figures = true; }},
           {"is deaf to SIGTERM", [](Harm& h) { h.deaf = true; }},
           {"unreadable at one node", [](Harm& h) { h.unreadable_at = "n7"; }}}) {
    Harm h;
    set(h);
    all.emplace_back(name, h);
  }
  return all;
}

}  // namespace

Commands::Commands(CLI::App& app) {
  rollout_ = app.add_subcommand("rollout",
                                "trials of rollouts in virtual time, with the program's own deciding parts");
  rollout_->add_option("--runs", runs_, "of each row, each another seed")->check(CLI::Range(1, 100'000));
  rollout_->add_option("--seed", seed_, "of the first run");
  rollout_->add_flag("--ends", ends_, "print how runs ended that were not done");
  rollout_->add_option("--workers", workers_, "threads")->check(CLI::Range(1, 256));
  rollout_
      ->add_option(
          "--set", set_,
          "harms: releases that do worse, by three rules; faults: drivers, keepers and links that fail; "
          "world: a fleet that fails by itself; variants: broken ones, to see them caught")
      ->check(CLI::IsMember({"harms", "faults", "world", "variants"}));
  rollout_->add_flag("--explore", explore_,
                     "instead: every course with up to --faults faults over --nodes keepers");
  rollout_->add_flag("--real", real_, "instead: a tier of real processes under load, changed and measured");
  rollout_->add_option("--nodes", nodes_, "of --explore (2 to 5) and --real")->check(CLI::Range(2, 64));
  rollout_->add_option("--rate", rate_, "requests a second at each node, of --real")
      ->check(CLI::Range(1.0, 500.0));
  rollout_->add_option("--kills", kills_, "drivers to kill at random moments, of --real")
      ->check(CLI::Range(0, 10'000));
  rollout_->add_option("--faults", faults_, "in one course, of --explore")->check(CLI::Range(0, 4));
  rollout_->add_option("--variant", variant_, "a broken one, to see it caught; of --explore")
      ->check(CLI::IsMember({"any-epoch", "no-lease", "no-token", "greedy", "forgetful", "hasty"}));
}

bool Commands::chosen() const { return rollout_->parsed(); }

int Commands::Explore() const {
  RolloutExploreOptions o;
  o.nodes = nodes_ > 0 ? nodes_ : 3;
  o.faults = faults_;
  o.workers = workers_;
  o.variant = variant_;
  const RolloutExplored e = ExploreRollout(o);
  const auto number = [](std::uint64_t n) { return static_cast<unsigned long long>(n); };
  std::printf("%d nodes, %d faults%s%s: %llu states, %llu steps, %llu courses to their end\n", o.nodes,
              o.faults, o.variant.empty() ? "" : ", variant ", o.variant.c_str(), number(e.states),
              number(e.steps), number(e.courses));
  for (const auto& [end, n] : e.ends) std::printf("  %-42s %llu\n", end.c_str(), number(n));
  for (const auto& [name, n] : e.by_invariant)
    std::printf("broken: %s, %llu courses\n", name.c_str(), number(n));
  for (std::size_t i = 0; i < std::min<std::size_t>(5, e.breaches.size()); ++i)
    std::printf("  %s: %s:%s\n", e.breaches[i].invariant.c_str(), e.breaches[i].what.c_str(),
                e.breaches[i].course.c_str());
  return e.breaches.empty() ? 0 : 1;
}

int Commands::Real(const std::string& node_program) const {
  RealTrial t;
  t.program = node_program;
  t.nodes = nodes_ > 0 ? static_cast<std::size_t>(nodes_) : 16;
  t.rate = rate_;
  t.kills = kills_;
  t.seed = static_cast<std::uint64_t>(seed_);
  const RealTrialResult r = PlayReal(t);
  std::printf(
      "%zu nodes, %.0f requests a second each: %d of %d rollouts done in %.1f s together, %d drivers killed, "
      "at most "
      "%zu nodes in change\n"
      "worth earned of worth asked for: %.4f before, %.4f during (ratio %.4f)\n"
      "%llu requests: %llu unheard, %llu failed or broken, %llu with two attempts at once\n",
      t.nodes, t.rate, r.done, r.rollouts, r.seconds, r.killed, r.most_in_change, r.before, r.during,
      r.during / std::max(1e-9, r.before), static_cast<unsigned long long>(r.asked),
      static_cast<unsigned long long>(r.unheard), static_cast<unsigned long long>(r.other),
      static_cast<unsigned long long>(r.two_at_once));
  for (const std::string& b : r.broken) std::printf("broken: %s\n", b.c_str());
  return r.broken.empty() ? 0 : 1;
}

int Commands::Run(const std::string& node_program) {
  if (explore_) return Explore();
  if (real_) return Real(node_program);
  int bad = 0;
  say_ends = ends_;
  Head();
  if (set_ == "harms") {
    for (const auto& [name, harm] : Harms()) {
      for (const auto& [word, rule] : {std::pair{"verdict", Rule::kVerdict},
                                       {"threshold", Rule::kThreshold},
                                       {"at-once", Rule::kAllAtOnce}}) {
        WorldSpec s;
        s.seed = static_cast<std::uint64_t>(seed_);
        s.harm = harm;
        s.rule = rule;
        s.length = 900;
        bad += Row(name, word, PlayAll(s, runs_, workers_));
      }
    }
    return bad > 0 ? 1 : 0;
  }
  std::vector<std::pair<std::string, WorldSpec>> rows;
  WorldSpec base;
  base.seed = static_cast<std::uint64_t>(seed_);
  base.soak = 10;
  base.requests = 100;
  base.nodes = 8;
  base.stages = {1, 2};
  base.length = 1500;
  const auto add = [&](const char* name, auto set) {
    WorldSpec s = base;
    set(s);
    rows.emplace_back(name, s);
  };
  if (set_ == "faults") {
    add("drivers die", [](WorldSpec& s) { s.kill_driver = 0.003; });
    add("drivers die, 20% lost", [](WorldSpec& s) { s.kill_driver = 0.003, s.lost = 0.2; });
    add("two drivers", [](WorldSpec& s) { s.two_drivers = true, s.lost = 0.1; });
    add("drivers pause 30 s", [](WorldSpec& s) { s.pause_driver = 0.02, s.two_drivers = true; });
    add("keepers die", [](WorldSpec& s) { s.kill_keeper = 0.01; });
    add("keepers and drivers die",
        [](WorldSpec& s) { s.kill_keeper = 0.005, s.kill_driver = 0.002, s.lost = 0.1; });
    add("nodes die", [](WorldSpec& s) { s.kill_node = 0.0005; });
    add("3 of 8 cut for 60 s",
        [](WorldSpec& s) { s.cut_from = 5, s.cut_to = 7, s.cut_at = 15, s.cut_for = 60; });
    add("5 of 8 cut for 60 s",
        [](WorldSpec& s) { s.cut_from = 3, s.cut_to = 7, s.cut_at = 15, s.cut_for = 60; });
    add("a machine vanishes", [](WorldSpec& s) { s.vanish = 4, s.vanish_at = 20; });
    add("bad one, drivers die",
        [](WorldSpec& s) { s.kill_driver = 0.003, s.lost = 0.1, s.harm.failed = 0.3; });
    add("bad one, 3 cut", [](WorldSpec& s) {
      s.harm.failed = 0.1, s.cut_from = 5, s.cut_to = 7, s.cut_at = 30, s.cut_for = 60;
    });
    add("3 requests a minute", [](WorldSpec& s) { s.rate = 0.05, s.length = 4000; });
  } else if (set_ == "world") {
    add("fleet fails 30%, 60 s",
        [](WorldSpec& s) { s.world_at = 9, s.world_for = 60, s.world_failed = 0.3; });
    add("fleet fails 10%, 60 s",
        [](WorldSpec& s) { s.world_at = 9, s.world_for = 60, s.world_failed = 0.1; });
    add("load doubled, 60 s", [](WorldSpec& s) { s.load_at = 9, s.load_for = 60, s.load_times = 2; });
    add("and one that fails 10%",
        [](WorldSpec& s) { s.world_at = 9, s.world_for = 60, s.world_failed = 0.1, s.harm.failed = 0.1; });
  } else {
    add("keepers take any epoch", [](WorldSpec& s) {
      s.forge_epoch = true, s.two_drivers = true, s.lost = 0.1, s.pause_driver = 0.02;
    });
    add("no lease",
        [](WorldSpec& s) { s.no_lease = true, s.two_drivers = true, s.pause_driver = 0.05, s.lost = 0.3; });
    add("more at once", [](WorldSpec& s) { s.greedy = true; });
    add("forgets its good release", [](WorldSpec& s) { s.forgetful = true, s.kill_keeper = 0.02; });
    int caught = 0;
    for (const auto& [name, s] : rows) caught += Row(name, "verdict", PlayAll(s, runs_, workers_));
    return caught == static_cast<int>(rows.size()) ? 0 : 1;
  }
  for (const auto& [name, s] : rows) bad += Row(name, "verdict", PlayAll(s, runs_, workers_));
  return bad > 0 ? 1 : 0;
}

}  // namespace ryeglade::rollout_lab
