// Scripted bad hours against a real node on loopback: stand-in replicas and discovery misbehave on time while
// clients keep asking. For tests and for the demonstration; lab/fault_scenarios.h has the same in virtual
// time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/local_fleet.h"

namespace ryeglade::lab {

// What can be played: dark, slow, erroring, cut-off, replaced, drained.
std::vector<std::string> LiveFaultScenarioNames();

struct LiveFaultScenarioOptions {
  std::string program;  // the node's
  std::string name;     // one of LiveFaultScenarioNames(); throws std::runtime_error for others
  std::string record;   // directory for the flight record
  double seconds = 30;  // the bad thing begins after a third and ends after two
  double requests_per_second = 40;
  std::size_t replicas = 6;
  std::string extra_timeline_settings;  // TOML of [timeline]
  std::function<void(double done)> progress;
};

struct LiveFaultScenarioResult {
  std::string victim;  // the replica that it happened to; empty: the roster
  std::map<int, std::uint64_t> statuses;
  std::uint64_t asked = 0, answered = 0, broken = 0;
  std::uint64_t overlapping_attempts = 0;  // a broken rule
  int exit_code = 0;                       // of the node
  std::string log;                         // the node's
};

LiveFaultScenarioResult PlayLiveFaultScenario(const LiveFaultScenarioOptions& options);

}  // namespace ryeglade::lab
