// Scripted hours in virtual time: one node's Router between a roster, replicas and clients that are modelled,
// and the flight record that the node would have kept. A seed and a script give the same record on every
// machine. It is what detection is measured on, and what long records are made of.
//
// The model, times in seconds. Arrivals: Poisson, `per_second`; prompts lognormal(ln 700, 0.8) tokens, one of
// 8 shared beginnings drawn by 1/rank. A replica runs `batch` requests side by side, the rest wait in order,
// more than `queue` waiting are turned away. First token: wait + 0.03 + prompt/6000, times lognormal(0,
// 0.25); each further token 0.004, answers lognormal(ln 60, 0.5) tokens. All of it times the replica's own
// speed, drawn once from lognormal(0, 0.08). A background of 2 failures in 1,000 attempts.
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
  kSlow,         // one replica's first tokens take 4 times as long
  kFull,         // one replica turns 6 of 10 away
  kCutOff,       // one replica can't be reached, and the roster does not know
  kLoaded,       // one replica reports three times the load it has
  kFleetSlow,    // all replicas at once take 4 times as long
  kFleetErrors,  // all replicas at once fail 3 of 10
  kDark,         // the roster goes dark, and comes back with half of the fleet replaced
  kReplaced,     // one replica's place is taken by another at the same address
  kDrained,      // one replica drains in the middle of a burst of traffic
  kCount
};
const char* Name(ScriptedFault fault);
ScriptedFault ParseScriptedFault(const std::string& word);  // throws std::runtime_error listing the words

struct FaultScenarioOptions {
  std::uint64_t seed = 1;
  std::string node = "n0";
  double seconds = 600;
  int replicas = 12;
  double requests_per_second = 60;
  ScriptedFault fault = ScriptedFault::kNone;
  double fault_at = 300, fault_seconds = 60;  // seconds from the begin
  Time clock_offset = 0;                      // microseconds that this node's clock is ahead
  Time start_time = 1'760'000'000'000'000;
  double burst_failures_per_second = 0;  // attempts a second that fail at once while the bad thing lasts
  bool record_reasons = true;
};

struct FaultScenarioResult {
  std::uint64_t decisions = 0, requests = 0;
  policy::ReplicaId victim = 0;  // of the bad thing, where it is one replica's
  Time from = 0, to = 0;         // of the bad thing, by the node's clock
};

// Every record, in order.
FaultScenarioResult PlayFaultScenario(const FaultScenarioOptions& options,
                                      const std::function<void(const timeline::Record&)>& sink);
// The same as the encoded records of a file.
std::string EncodeFaultScenario(const FaultScenarioOptions& options, FaultScenarioResult* result = nullptr);
// Writes a .flight file of blocks of 64 KiB. Throws std::runtime_error.
FaultScenarioResult WriteFaultScenario(const FaultScenarioOptions& options, const std::string& path,
                                       const std::function<void(double done)>& progress = nullptr);

// Detection: what the watch makes of seeded hours, calm ones and ones with a bad thing.
struct DetectionRow {
  ScriptedFault fault = ScriptedFault::kNone;
  int hours = 0, found = 0;
  std::vector<double> delays;  // seconds from its begin to the event, of those found
  int other = 0;               // events that are not its doing
};
std::vector<DetectionRow> MeasureDetection(int hours_each, int calm_hours,
                                           const std::function<void(int done, int of)>& progress = nullptr);
std::string DetectionTable(const std::vector<DetectionRow>& rows);

}  // namespace ryeglade::lab
