// A rollout in virtual time: the program's own keepers, driver and verdict, over nodes that are no more than
// what a release does to requests; links that lose and cut; drivers that die between any two messages;
// a fleet that fails by itself. One seed, one course. Checks what must hold all the while.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/driver_model.h"
#include "rollout/supervisor_model.h"

namespace ryeglade::rollout_lab {

using rollout::Time;

// What a release does to those who ask it.
struct ReleaseDefects {
  double failed_share = 0;           // share of requests beside the fleet's own
  double rejected_share = 0;         // the same
  std::string only_class;            // of this class only; empty: of all
  double first_token_slowdown = 0;   // first tokens: this part slower, under load
  double leak_bytes_per_second = 0;  // bytes a second
  int crash_at_request = 0;          // request at which a process dies; 0: never
  bool never_ready = false, does_not_start = false, no_metrics = false,
       ignores_sigterm = false;    // deaf: to SIGTERM
  std::string unreadable_on_node;  // a node whose files can't be read
};

enum class StopRule : std::uint8_t {
  kCanaryAnalysis,
  kThreshold,
  kAllAtOnce
};  // what stops it; the last: nothing, no stages

struct SimulationSpec {
  std::uint64_t seed = 1;
  int nodes = 16, zones = 2;
  double rate = 20;     // requests a second at a node, median; nodes differ by `spread`
  double spread = 0.5;  // sigma of the logarithm
  double baseline_failed_share = 0.01, baseline_rejected_share = 0.01;  // the fleet's own, median over nodes
  double overdispersion = 0.3;  // sigma of the logarithm of those, node by node
  ReleaseDefects defects;
  StopRule rule = StopRule::kCanaryAnalysis;
  double soak_seconds = 60;  // seconds
  std::uint64_t requests = 500;
  std::vector<int> stages{1, 3};  // nodes of the first stages; the rest is the last
  std::size_t max_concurrent = 2;
  double message_loss = 0;             // share of messages, each way
  double driver_kill_probability = 0;  // chance at each message
  double driver_pause_probability =
      0;  // chance at each round; for pause_for seconds, then it goes on as if nothing were
  double driver_pause_seconds = 30;
  double supervisor_kills_per_second = 0;          // chance a keeper and second
  double node_kills_per_second = 0;                // the same for a node's process
  bool concurrent_drivers = false;                 // another starts now and then, whoever drives
  int partition_first = -1, partition_last = -1;   // nodes that no driver reaches,
  double partition_at = 0, partition_seconds = 0;  // then, for so long (seconds)
  int lost_machine = -1;                           // a node whose machine goes for good,
  double lost_machine_at = 0;
  double fleet_failure_at = -1, fleet_failure_seconds = 30,
         fleet_failure_share = 0;  // the fleet fails by itself
  double load_peak_at = -1, load_peak_seconds = 30, load_peak_factor = 1;
  double max_seconds = 1800;  // seconds at most
  // Broken on purpose, to see that the checks catch it.
  bool accepts_any_epoch = false;       // keepers take any epoch
  bool no_lease = false;                // and any claim's age; a new driver doesn't wait
  bool ignores_max_concurrent = false;  // a driver that passes over its plan's at_once
  bool forgets_last_good = false;       // a keeper that forgets its last good release
};

struct SimulationResult {
  std::vector<std::string> violations;  // what must hold and did not; empty: good
  std::string end;                      // "done", "back", "paused: ...", "unfinished"
  double stopped_at = -1;               // seconds after the start, when it was decided to go back; -1: never
  std::size_t stopped_stage = 0;
  std::size_t exposed_nodes = 0;
  double exposed_requests = 0, worth_lost = 0, worth = 0;  // lost: to the release's harm
  double seconds = 0;
  int drivers = 0, supervisors_killed = 0;
  std::string stop_reason;
};

SimulationResult RunSimulation(const SimulationSpec& spec);

// Counts of a whole set of runs, with what each ended as.
struct SimulationTotals {
  int runs = 0, stopped = 0, done = 0, other = 0, stopped_in_first_stage = 0;
  double exposed_nodes = 0, exposed_requests = 0, worth_lost = 0, worth = 0, seconds = 0;
  std::vector<std::string> violations, ends;  // ends: of those that were not done, with their seed
};
SimulationTotals RunSimulations(SimulationSpec spec, int runs, int workers);

}  // namespace ryeglade::rollout_lab
