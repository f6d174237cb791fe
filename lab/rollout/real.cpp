#include "lab/rollout/real.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <filesystem>

#include "lab/emulator/random.h"

namespace ryeglade::rollout_lab {
namespace {

constexpr Time kSecond = 1'000'000;
constexpr Time kLookEvery = 150'000;
constexpr double kWarm = 6, kBefore = 20;  // seconds
constexpr Time kMost = 180 * kSecond;      // for one rollout

std::string StagesOf(const RealTrial& t) {
  std::string text = "[[stage]]\ncount = 1\nsoak = \"2s\"\nrequests = 50\n";
  if (t.nodes > 4)
    text += fmt::format("[[stage]]\ncount = {}\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n", t.nodes / 4,
                        t.at_once);
  return text + fmt::format("[[stage]]\nat_once = {}\nsoak = \"2s\"\nrequests = 100\n", t.at_once);
}

// As wide as the few seconds of a busy machine ask for; what is measured here is the change, not the verdict.
constexpr const char* kGuards =
    "[guards]\nlate = 0.5\nrefused = 0.2\nfailed = 0.05\nsure = 0.2\nworld = 1\nslower = 1\nwindow = "
    "\"2s\"\n";

}  // namespace

RealTrialResult PlayReal(const RealTrial& t) {
  RealTrialResult r;
  TierOptions o;
  o.program = t.program;
  o.nodes = t.nodes;
  o.rate = t.rate;
  o.seed = t.seed;
  o.seconds = 3600;
  RealTier tier(o);
  if (!tier.Up()) {
    r.broken.emplace_back("the tier did not come up");
    return r;
  }
  tier.StartClients();
  const auto wait = [&](double seconds) {
    tier.Until([] { return false; }, static_cast<Time>(seconds * 1e6));
  };
  wait(kWarm);
  const auto first = tier.served();
  wait(kBefore);
  const auto second = tier.served();
  r.before = (second.worth - first.worth) / std::max(1.0, second.worth_asked - first.worth_asked);

  emulator::RandomStream random(t.seed, emulator::RandomPurpose::kFailures);
  const std::string copy = tier.root() + "/ryeglade-2";
  std::filesystem::copy_file(t.program, copy);
  Time look = 0;
  const auto watch = [&] {
    if (Now() < look) return;
    look = Now() + kLookEvery;
    std::size_t changing = 0;
    for (std::size_t i = 0; i < t.nodes; ++i) {
      const auto s = tier.Status(i);
      changing += s && !s->pending.empty() ? 1 : 0;
    }
    r.most_in_change = std::max(r.most_in_change, changing);
  };
  const auto broken = [&](const std::string& what) { r.broken.push_back(what); };
  do {
    const std::string id = fmt::format("r{}", ++r.rollouts);
    const std::string plan = tier.Plan(
        id, fmt::format("id = \"{}\"\nprogram = \"{}\"", id, r.rollouts % 2 == 1 ? copy : t.program),
        StagesOf(t), kGuards);
    const Time began = Now();
    int code = -1;
    for (int driver = 0; code != 0 && Now() - began < kMost; ++driver) {
      auto d = tier.Rollout("start", plan, fmt::format("{}-d{}", id, driver));
      const bool kill = r.killed < t.kills;
      const Time lives = kill ? 1'200'000 + static_cast<Time>(random.Below(3'000'000)) : kMost;
      tier.Until(
          [&] {
            watch();
            return !d->Alive();
          },
          lives);
      if (d->Alive()) {
        d->Signal(SIGKILL);
        ++r.killed;
        d->Wait(5 * kSecond, [&] { wait(0.02); });
        continue;
      }
      code = d->Wait(5 * kSecond, [&] { wait(0.02); });
      if (code != 0 && code != 4) {
        broken(fmt::format("{} ended with {}: {}", id, code, d->Log().substr(0, 2000)));
        break;
      }
    }
    r.seconds += static_cast<double>(Now() - began) / 1e6;
    if (code == 0 && tier.On(id) == t.nodes) {
      ++r.done;
    } else {
      broken(fmt::format("{}: {} of {} nodes run it", id, tier.On(id), t.nodes));
      break;
    }
  } while (r.killed < t.kills);
  const auto third = tier.served();
  r.during = (third.worth - second.worth) / std::max(1.0, third.worth_asked - second.worth_asked);
  tier.Stop();
  const auto all = tier.served();
  r.asked = all.asked, r.unheard = all.unheard, r.other = all.other, r.two_at_once = all.two_at_once;
  if (r.two_at_once > 0) broken(fmt::format("{} requests had two attempts at once", r.two_at_once));
  if (r.most_in_change > t.at_once)
    broken(fmt::format("{} nodes in change, {} allowed", r.most_in_change, t.at_once));
  if (all.asked != all.served + all.refused + all.unheard + all.other)
    broken("some requests have no outcome");
  return r;
}

}  // namespace ryeglade::rollout_lab
