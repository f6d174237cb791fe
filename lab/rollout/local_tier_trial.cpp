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

std::string PlanStages(const LocalTierTrial& trial) {
  std::string text = "[[stage]]\ncount = 1\nsoak = \"2s\"\nrequests = 50\n";
  if (trial.nodes > 4)
    text += fmt::format("[[stage]]\ncount = {}\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n",
                        trial.nodes / 4, trial.max_concurrent);
  return text + fmt::format("[[stage]]\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n", trial.max_concurrent);
}

// Wide limits, because samples of a few seconds on a busy machine are noisy. The trial measures the change of
// release, not the canary analysis.
constexpr const char* kGuards =
    "[guards]\nlate = 0.5\nrefused = 0.2\nfailed = 0.05\nsure = 0.2\nworld = 1\nslower = 1\nwindow = "
    "\"2s\"\n";

}  // namespace

LocalTierTrialResult RunLocalTierTrial(const LocalTierTrial& trial) {
  LocalTierTrialResult result;
  LocalTierOptions options;
  options.program = trial.program;
  options.nodes = trial.nodes;
  options.rate = trial.rate;
  options.seed = trial.seed;
  options.seconds = 3600;
  LocalTier tier(options);
  if (!tier.WaitUntilRunning()) {
    result.violations.emplace_back("not all nodes of the tier serve after 30 s");
    return result;
  }
  tier.StartClients();
  const auto wait = [&](double seconds) {
    tier.Until([] { return false; }, static_cast<Time>(seconds * 1e6));
  };
  wait(kWarmUpSeconds);
  const auto after_warm_up = tier.request_counts();
  wait(kBaselineSeconds);
  const auto before_rollouts = tier.request_counts();
  result.worth_share_before = (before_rollouts.worth - after_warm_up.worth) /
                              std::max(1.0, before_rollouts.worth_asked - after_warm_up.worth_asked);

  emulator::RandomStream random(trial.seed, emulator::RandomPurpose::kFailures);
  const std::string copy = tier.root() + "/ryeglade-2";
  std::filesystem::copy_file(trial.program, copy);
  Time next_poll = 0;
  const auto watch = [&] {
    if (Now() < next_poll) return;
    next_poll = Now() + kPollInterval;
    std::size_t changing = 0;
    for (std::size_t i = 0; i < trial.nodes; ++i) {
      const auto s = tier.Status(i);
      changing += s && !s->pending.empty() ? 1 : 0;
    }
    result.max_in_change = std::max(result.max_in_change, changing);
  };
  const auto add_violation = [&](const std::string& what) { result.violations.push_back(what); };
  do {
    const std::string id = fmt::format("r{}", ++result.rollouts);
    const std::string plan = tier.WritePlan(
        id, fmt::format("id = \"{}\"\nprogram = \"{}\"", id, result.rollouts % 2 == 1 ? copy : trial.program),
        PlanStages(trial), kGuards);
    const Time began = Now();
    int code = -1;
    for (int driver_number = 0; code != 0 && Now() - began < kRolloutTimeout; ++driver_number) {
      auto driver = tier.StartRolloutCommand("start", plan, fmt::format("{}-d{}", id, driver_number));
      const bool kills_driver = result.drivers_killed < trial.kills;
      const Time lifetime =
          kills_driver ? 1'200'000 + static_cast<Time>(random.Below(3'000'000)) : kRolloutTimeout;
      tier.Until(
          [&] {
            watch();
            return !driver->IsRunning();
          },
          lifetime);
      if (driver->IsRunning()) {
        driver->Signal(SIGKILL);
        ++result.drivers_killed;
        driver->Wait(5 * kSecond, [&] { wait(0.02); });
        continue;
      }
      code = driver->Wait(5 * kSecond, [&] { wait(0.02); });
      if (code != 0 && code != 4) {
        add_violation(fmt::format("the driver of {} ended with exit code {}: {}", id, code,
                                  driver->Log().substr(0, 2000)));
        break;
      }
    }
    result.seconds += static_cast<double>(Now() - began) / 1e6;
    if (code == 0 && tier.CountRunning(id) == trial.nodes) {
      ++result.done;
    } else {
      add_violation(
          fmt::format("release {} is active on {} of {} nodes", id, tier.CountRunning(id), trial.nodes));
      break;
    }
  } while (result.drivers_killed < trial.kills);
  const auto after_rollouts = tier.request_counts();
  result.worth_share_during = (after_rollouts.worth - before_rollouts.worth) /
                              std::max(1.0, after_rollouts.worth_asked - before_rollouts.worth_asked);
  tier.StopClients();
  const auto all = tier.request_counts();
  result.asked = all.asked, result.unanswered = all.unanswered, result.other = all.other,
  result.overlapping_attempts = all.overlapping_attempts;
  if (result.overlapping_attempts > 0)
    add_violation(fmt::format("{} attempts began while another of the same request was running",
                              result.overlapping_attempts));
  if (result.max_in_change > trial.max_concurrent)
    add_violation(fmt::format("{} nodes were changing at once, {} allowed", result.max_in_change,
                              trial.max_concurrent));
  if (all.asked != all.served + all.refused + all.unanswered + all.other)
    add_violation(fmt::format("{} requests were made, but {} have an outcome", all.asked,
                              all.served + all.refused + all.unanswered + all.other));
  return result;
}

}  // namespace ryeglade::rollout_lab
