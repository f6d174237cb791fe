// Fault scenarios in virtual time: the Router of one node with a simulated endpoint list, simulated replicas
// and clients, and the flight record that the node would write. The same options give the same record on
// every machine. The anomaly detection is measured on these records, and long records for benchmarks are made
// of them.
//
// The model, with times in seconds: requests arrive as a Poisson process at `requests_per_second`. Prompts
// have lognormal(ln 700, 0.8) tokens and one of 8 shared prefixes, drawn with the weights 8, 7, ... 1. A
// replica runs 16 requests at the same time; up to 64 wait in order, and more are rejected. The first token
// takes (0.03 + prompt/6000) * lognormal(0, 0.25) after the wait, each further token 0.004; responses have
// lognormal(ln 60, 0.5) tokens. All of these times are multiplied by the replica's own speed factor, drawn
// once from lognormal(0, 0.08). 2 of 1,000 attempts fail without any fault.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "timeline/flight_record_codec.h"

namespace ryeglade::lab {

using policy::Time;

enum class ScriptedFault : std::uint8_t {
  kNone,
  kErrors,       // half of one replica's attempts fail
  kSlow,         // one replica takes 4 times as long
  kFull,         // one replica rejects 6 of 10 attempts
  kCutOff,       // one replica can't be reached, though it is in the endpoint list
  kLoaded,       // one replica reports three times its load, plus 6
  kFleetSlow,    // all replicas take 4 times as long
  kFleetErrors,  // all replicas fail 3 of 10 attempts
  kDark,         // the endpoint list becomes unavailable and returns with half of the fleet replaced
  kReplaced,     // one replica is replaced by another at the same address
  kDrained,      // one replica drains while the traffic is doubled
  kCount
};
const char* Name(ScriptedFault fault);
ScriptedFault ParseScriptedFault(const std::string& name);  // throws std::runtime_error listing the names

struct FaultScenarioOptions {
  std::uint64_t seed = 1;
  std::string node = "n0";
  double seconds = 600;
  int replicas = 12;
  double requests_per_second = 60;
  ScriptedFault fault = ScriptedFault::kNone;
  double fault_at = 300, fault_seconds = 60;  // seconds after the start
  Time clock_offset = 0;                      // microseconds that this node's clock is ahead
  Time start_time = 1'760'000'000'000'000;    // microseconds since the epoch
  // Additional attempts that fail at once while the fault lasts. 0: none.
  double burst_failures_per_second = 0;
  bool record_reasons = true;  // set: the record contains the reasons of the decisions
};

struct FaultScenarioResult {
  std::uint64_t decisions = 0, requests = 0;
  policy::ReplicaId victim = 0;  // the replica with the fault, if it affects only one
  Time from = 0, to = 0;         // when the fault begins and ends, by the node's clock
};

// Plays the scenario and passes every record to `sink`, in order.
FaultScenarioResult PlayFaultScenario(const FaultScenarioOptions& options,
                                      const std::function<void(const timeline::Record&)>& sink);
// Returns the records as they are encoded in a file, without blocks.
std::string EncodeFaultScenario(const FaultScenarioOptions& options, FaultScenarioResult* result = nullptr);
// Writes a .flight file of blocks of 64 KiB and calls `progress` with the share that is done. Throws
// std::runtime_error if the file cannot be written.
FaultScenarioResult WriteFaultScenario(const FaultScenarioOptions& options, const std::string& path,
                                       const std::function<void(double done)>& progress = nullptr);

// How well the anomaly detector finds one kind of fault, over a set of scenarios.
struct DetectionRow {
  ScriptedFault fault = ScriptedFault::kNone;
  int scenarios = 0;           // number played
  int found = 0;               // scenarios in which the expected event was raised
  std::vector<double> delays;  // seconds from the start of the fault to the event, of those found, sorted
  int other = 0;               // false alarms: events that the fault does not explain
};
// Plays `hours_each` scenarios for each fault and `calm_hours` without a fault.
std::vector<DetectionRow> MeasureDetection(int hours_each, int calm_hours,
                                           const std::function<void(int done, int of)>& progress = nullptr);
// Formats the rows as a text table.
std::string DetectionTable(const std::vector<DetectionRow>& rows);

}  // namespace ryeglade::lab
