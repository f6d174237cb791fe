// Fault scenarios against a real node on loopback: fake replicas or discovery inject a fault on schedule
// while clients send requests. Used by tests and by the demonstration. lab/fault_scenarios.h does the same in
// virtual time.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/local_fleet.h"

namespace ryeglade::lab {

// The scenarios: dark, slow, erroring, cut-off, replaced, drained.
std::vector<std::string> LiveFaultScenarioNames();

struct LiveFaultScenarioOptions {
  std::string program;  // the node's
  std::string name;     // one of LiveFaultScenarioNames()
  std::string record;   // directory for the flight record
  double seconds = 30;  // the fault begins after one third of it and ends after two thirds
  double requests_per_second = 40;
  std::size_t replicas = 6;
  std::string extra_timeline_settings;        // appended to the TOML table [timeline]
  std::function<void(double done)> progress;  // gets the share that is done, every second; null: none
};

struct LiveFaultScenarioResult {
  std::string victim;                     // the replica with the fault; empty: discovery had it
  std::map<int, std::uint64_t> statuses;  // number of responses by HTTP status
  std::uint64_t asked = 0, answered = 0;
  std::uint64_t broken = 0;                // responses with status 200 that are incomplete
  std::uint64_t overlapping_attempts = 0;  // must be 0: a request had two attempts at the same time
  int exit_code = 0;                       // of the node
  std::string log;                         // the node's
};

// Starts a local fleet, plays the scenario and stops the node. Throws std::runtime_error for an unknown name,
// or if the node does not start.
LiveFaultScenarioResult PlayLiveFaultScenario(const LiveFaultScenarioOptions& options);

}  // namespace ryeglade::lab
