#include "lab/live_fault_scenario.h"

#include <fmt/format.h>
#include <signal.h>

#include <algorithm>
#include <stdexcept>

namespace ryeglade::lab {
namespace {

constexpr Time kFirstToken = 30'000, kSlowFirstToken = 600'000;
constexpr Time kRequestTimeout = 20'000'000;
constexpr Time kFinishTimeout = 30'000'000;  // for the last responses
constexpr Time kStopTimeout = 20'000'000;

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
    throw std::runtime_error("'" + o.name + "' is not a fault scenario; the scenarios are " + all);
  }
  LocalFleetOptions options;
  options.program = o.program;
  FakeReplicaOptions replica;
  replica.first_token = kFirstToken;
  replica.per_token = 2'000;
  options.replicas.assign(o.replicas, replica);
  options.extra_settings = "[timeline]\ndirectory = \"" + o.record + "\"\n" + o.extra_timeline_settings;
  LocalFleet fleet(options);
  LiveFaultScenarioResult result;
  FakeReplica& victim = *fleet.replicas().front();
  const std::string name = "stand-in-0", address = fleet.address(0);
  if (o.name != "dark") result.victim = name;

  double rate = o.requests_per_second;
  const auto begin_fault = [&] {
    if (o.name == "dark") fleet.discovery().SetUnavailable(true);
    if (o.name == "slow") victim.options().first_token = kSlowFirstToken;
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
  const auto end_fault = [&] {
    if (o.name == "dark") {
      // Half of the fleet has been replaced when discovery returns.
      for (std::size_t i = 0; i < o.replicas / 2; ++i) {
        fleet.discovery().Set(fmt::format("stand-in-{}", i), fleet.address(i), "left");
        fleet.discovery().Set(fmt::format("stand-in-{}-b", i), fleet.address(i));
      }
      fleet.discovery().SetUnavailable(false);
    }
    if (o.name == "slow") victim.options().first_token = kFirstToken;
    if (o.name == "erroring") victim.options().fault = Fault::kNone;
    if (o.name == "drained") {
      rate = o.requests_per_second;
      fleet.discovery().Set(name, address);
    }
  };
  const Time from = Now(), to = from + static_cast<Time>(o.seconds * 1e6);
  const Time fault_begin = from + (to - from) / 3, fault_end = from + 2 * (to - from) / 3;
  Time next = from, last_progress = from;
  int stage = 0;
  while (Now() < to || result.answered < result.asked) {
    const Time now = Now();
    if (stage == 0 && now >= fault_begin) {
      begin_fault();
      ++stage;
    }
    if (stage == 1 && now >= fault_end) {
      end_fault();
      ++stage;
    }
    while (now < to && next <= now) {
      next += static_cast<Time>(1e6 / rate);
      fleet.client().Send(fleet.openai(), Post("/v1/chat/completions", "", Prompt(result.asked++)),
                          kRequestTimeout, [&](const Reply& r) {
                            ++result.answered;
                            ++result.statuses[r.status];
                            if (r.status == 200 && !r.complete) ++result.broken;
                          });
    }
    if (o.progress && now - last_progress > 1'000'000) {
      last_progress = now;
      o.progress(std::min(1.0, static_cast<double>(now - from) / static_cast<double>(to - from)));
    }
    fleet.Until([] { return false; }, 5'000);
    if (now > to + kFinishTimeout) break;
  }
  result.overlapping_attempts = fleet.attempt_counts().overlapping_attempts;
  fleet.node().Signal(SIGTERM);
  fleet.Until([&] { return !fleet.node().IsRunning(); }, kStopTimeout);
  result.exit_code = fleet.node().Stop();
  result.log = fleet.node().Log();
  return result;
}

}  // namespace ryeglade::lab
