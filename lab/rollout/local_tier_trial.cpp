#include "lab/rollout/local_tier_trial.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <filesystem>

#include "lab/emulator/random.h"

namespace ryeglade::rollout_lab {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kPollInterval = 150'000;  // of the supervisors' status
constexpr double kWarmUpSeconds = 6, kBaselineSeconds = 20;
constexpr Time kRolloutTimeout = 180 * kSecond;  // for one rollout

std::string PlanStages(const LocalTierTrial& t) {
  std::string text = "[[stage]]\ncount = 1\nsoak = \"2s\"\nrequests = 50\n";
  if (t.nodes > 4)
    text += fmt::format("[[stage]]\ncount = {}\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n", t.nodes / 4,
                        t.max_concurrent);
  return text + fmt::format("[[stage]]\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n", t.max_concurrent);
}

// Wide limits, because a few seconds on a busy machine say little. The trial measures the change of release,
// not the canary analysis.
constexpr const char* kGuards =
    "[guards]\nlate = 0.5\nrefused = 0.2\nfailed = 0.05\nsure = 0.2\nworld = 1\nslower = 1\nwindow = "
    "\"2s\"\n";

}  // namespace

LocalTierTrialResult RunLocalTierTrial(const LocalTierTrial& t) {
  LocalTierTrialResult r;
  LocalTierOptions o;
  o.program = t.program;
  o.nodes = t.nodes;
  o.rate = t.rate;
  o.seed = t.seed;
  o.seconds = 3600;
  LocalTier tier(o);
  if (!tier.WaitUntilRunning()) {
    r.violations.emplace_back("not all nodes of the tier serve after 30 s");
    return r;
  }
  tier.StartClients();
  const auto wait = [&](double seconds) {
    tier.Until([] { return false; }, static_cast<Time>(seconds * 1e6));
  };
  wait(kWarmUpSeconds);
  const auto after_warm_up = tier.request_counts();
  wait(kBaselineSeconds);
  const auto before_rollouts = tier.request_counts();
  r.worth_share_before = (before_rollouts.worth - after_warm_up.worth) /
                         std::max(1.0, before_rollouts.worth_asked - after_warm_up.worth_asked);

  emulator::RandomStream random(t.seed, emulator::RandomPurpose::kFailures);
  const std::string copy = tier.root() + "/ryeglade-2";
  std::filesystem::copy_file(t.program, copy);
  Time next_poll = 0;
  const auto watch = [&] {
    if (Now() < next_poll) return;
    next_poll = Now() + kPollInterval;
    std::size_t changing = 0;
    for (std::size_t i = 0; i < t.nodes; ++i) {
      const auto s = tier.Status(i);
      changing += s && !s->pending.empty() ? 1 : 0;
    }
    r.max_in_change = std::max(r.max_in_change, changing);
  };
  const auto add_violation = [&](const std::string& what) { r.violations.push_back(what); };
  do {
    const std::string id = fmt::format("r{}", ++r.rollouts);
    const std::string plan = tier.WritePlan(
        id, fmt::format("id = \"{}\"\nprogram = \"{}\"", id, r.rollouts % 2 == 1 ? copy : t.program),
        PlanStages(t), kGuards);
    const Time began = Now();
    int code = -1;
    for (int driver = 0; code != 0 && Now() - began < kRolloutTimeout; ++driver) {
      auto d = tier.StartRolloutCommand("start", plan, fmt::format("{}-d{}", id, driver));
      const bool kill = r.drivers_killed < t.kills;
      const Time lifetime = kill ? 1'200'000 + static_cast<Time>(random.Below(3'000'000)) : kRolloutTimeout;
      tier.Until(
          [&] {
            watch();
            return !d->IsRunning();
          },
          lifetime);
      if (d->IsRunning()) {
        d->Signal(SIGKILL);
        ++r.drivers_killed;
        d->Wait(5 * kSecond, [&] { wait(0.02); });
        continue;
      }
      code = d->Wait(5 * kSecond, [&] { wait(0.02); });
      if (code != 0 && code != 4) {
        add_violation(
            fmt::format("the driver of {} ended with exit code {}: {}", id, code, d->Log().substr(0, 2000)));
        break;
      }
    }
    r.seconds += static_cast<double>(Now() - began) / 1e6;
    if (code == 0 && tier.CountRunning(id) == t.nodes) {
      ++r.done;
    } else {
      add_violation(
          fmt::format("release {} is active on {} of {} nodes", id, tier.CountRunning(id), t.nodes));
      break;
    }
  } while (r.drivers_killed < t.kills);
  const auto after_rollouts = tier.request_counts();
  r.worth_share_during = (after_rollouts.worth - before_rollouts.worth) /
                         std::max(1.0, after_rollouts.worth_asked - before_rollouts.worth_asked);
  tier.StopClients();
  const auto all = tier.request_counts();
  r.asked = all.asked, r.unanswered = all.unanswered, r.other = all.other,
  r.overlapping_attempts = all.overlapping_attempts;
  if (r.overlapping_attempts > 0)
    add_violation(fmt::format("{} attempts began while another of the same request was running",
                              r.overlapping_attempts));
  if (r.max_in_change > t.max_concurrent)
    add_violation(
        fmt::format("{} nodes were changing at once, {} allowed", r.max_in_change, t.max_concurrent));
  if (all.asked != all.served + all.refused + all.unanswered + all.other)
    add_violation("some requests have no outcome");
  return r;
}

}  // namespace ryeglade::rollout_lab
