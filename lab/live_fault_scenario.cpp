#include "lab/live_fault_scenario.h"

#include <fmt/format.h>

#include <algorithm>
#include <stdexcept>

namespace ryeglade::lab {
namespace {

std::string Prompt(std::uint64_t n) {
  return fmt::format(
      R"({{"model":"docs-model","stream":true,"max_tokens":24,"messages":[{{"role":"system","content":"desk {}"}},)"
      R"({{"role":"user","content":"question {} {}"}}]}})",
      n % 5, n, std::string(static_cast<std::size_t>(n * 37 % 900), 'q'));
}

}  // namespace

std::vector<std::string> LiveFaultScenarioNames() {
  return {"dark", "slow", "erroring", "cut-off", "replaced", "drained"};
}

LiveFaultScenarioResult PlayLiveFaultScenario(const LiveFaultScenarioOptions& o) {
  const std::vector<std::string> names = LiveFaultScenarioNames();
  if (std::find(names.begin(), names.end(), o.name) == names.end()) {
    std::string all;
    for (const std::string& n : names) all += (all.empty() ? "" : ", ") + n;
    throw std::runtime_error("'" + o.name + "' is no bad hour; there are " + all);
  }
  LocalFleetOptions options;
  options.program = o.program;
  FakeReplicaOptions replica;
  replica.first_token = 30'000;
  replica.per_token = 2'000;
  options.replicas.assign(o.replicas, replica);
  options.extra_settings = "[timeline]\ndirectory = \"" + o.record + "\"\n" + o.extra_timeline_settings;
  LocalFleet fleet(options);
  LiveFaultScenarioResult result;
  FakeReplica& victim = *fleet.replicas().front();
  const std::string name = "stand-in-0", address = fleet.address(0);
  if (o.name != "dark") result.victim = name;

  double rate = o.requests_per_second;
  const auto begin = [&] {
    if (o.name == "dark") fleet.discovery().SetUnavailable(true);
    if (o.name == "slow") victim.options().first_token = 600'000;
    if (o.name == "erroring") victim.options().fault = Fault::kError;
    if (o.name == "cut-off") victim.Close();
    if (o.name == "replaced") {
      fleet.discovery().Set(name, address, "left");
      fleet.discovery().Set(name + "-b", address);
    }
    if (o.name == "drained") {
      rate = 2 * o.requests_per_second;
      fleet.discovery().Set(name, address, "leaving");
    }
  };
  const auto end = [&] {
    if (o.name == "dark") {
      // Half of the fleet goes by other names by then.
      for (std::size_t i = 0; i < o.replicas / 2; ++i) {
        fleet.discovery().Set(fmt::format("stand-in-{}", i), fleet.address(i), "left");
        fleet.discovery().Set(fmt::format("stand-in-{}-b", i), fleet.address(i));
      }
      fleet.discovery().SetUnavailable(false);
    }
    if (o.name == "slow") victim.options().first_token = 30'000;
    if (o.name == "erroring") victim.options().fault = Fault::kNone;
    if (o.name == "drained") {
      rate = o.requests_per_second;
      fleet.discovery().Set(name, address);
    }
  };
  const Time from = Now(), over = from + static_cast<Time>(o.seconds * 1e6);
  const Time bad = from + (over - from) / 3, good = from + 2 * (over - from) / 3;
  Time next = from, told = from;
  int stage = 0;
  while (Now() < over || result.answered < result.asked) {
    const Time now = Now();
    if (stage == 0 && now >= bad) {
      begin();
      ++stage;
    }
    if (stage == 1 && now >= good) {
      end();
      ++stage;
    }
    while (now < over && next <= now) {
      next += static_cast<Time>(1e6 / rate);
      fleet.client().Send(fleet.openai(), Post("/v1/chat/completions", "", Prompt(result.asked++)),
                          20'000'000, [&](const Reply& r) {
                            ++result.answered;
                            ++result.statuses[r.status];
                            if (r.status == 200 && !r.complete) ++result.broken;
                          });
    }
    if (o.progress && now - told > 1'000'000) {
      told = now;
      o.progress(std::min(1.0, static_cast<double>(now - from) / static_cast<double>(over - from)));
    }
    fleet.Until([] { return false; }, 5'000);
    if (now > over + 30'000'000) break;
  }
  result.overlapping_attempts = fleet.attempt_counts().overlapping_attempts;
  fleet.node().Signal(15);
  fleet.Until([&] { return !fleet.node().IsRunning(); }, 20'000'000);
  result.exit_code = fleet.node().Stop();
  result.log = fleet.node().Log();
  return result;
}

}  // namespace ryeglade::lab
