// Simulates rollouts in virtual time. The supervisors, the drivers and the canary analysis are the program's
// own; a node is modelled only by what a release does to requests. Messages get lost, links are cut, drivers
// die between any two messages, and the fleet may fail independently of the release. The same seed gives the
// same run. Invariants are checked after every tick.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "rollout/driver_model.h"
#include "rollout/supervisor_model.h"

namespace ryeglade::rollout_lab {

using rollout::Time;

// What the new release does worse than the old one. The default is a release without defects.
struct ReleaseDefects {
  double failed_share = 0;           // of requests, in addition to those that the fleet fails anyway
  double rejected_share = 0;         // of requests, in addition to those that the fleet rejects anyway
  std::string only_class;            // request class that is affected; empty: all classes
  double first_token_slowdown = 0;   // 0.3: first tokens take 30% longer
  double leak_bytes_per_second = 0;  // growth of a process's memory
  int crash_at_request = 0;          // number of the request at which a process dies; 0: never
  bool never_ready = false;
  bool does_not_start = false;
  bool no_metrics = false;  // the node reports no metrics to its supervisor
  bool ignores_sigterm = false;
  std::string unreadable_on_node;  // name of a node that can't read the release's files; empty: none
};

// What stops a rollout of a bad release.
enum class StopRule : std::uint8_t {
  kCanaryAnalysis,  // the program's own
  kThreshold,       // a fixed share of failed and rejected requests on the new release
  kAllAtOnce        // nothing: all nodes change at once, without stages
};

// One simulated rollout: the fleet, the plan, the defects of the release and the faults to inject.
struct SimulationSpec {
  std::uint64_t seed = 1;
  int nodes = 16, zones = 2;
  // Each node's request rate and its baseline shares are drawn from lognormal distributions.
  double rate = 20;                                                     // median, requests per second
  double spread = 0.5;                                                  // sigma of the rate's logarithm
  double baseline_failed_share = 0.01, baseline_rejected_share = 0.01;  // medians, on any release
  double overdispersion = 0.3;  // sigma of the logarithms of the baseline shares
  ReleaseDefects defects;       // of the new release
  StopRule rule = StopRule::kCanaryAnalysis;
  double soak_seconds = 60;      // of each stage
  std::uint64_t requests = 500;  // number that each stage waits for
  std::vector<int> stages{
      1, 3};  // number of nodes in each of the first stages; a last stage takes the remaining nodes
  std::size_t max_concurrent = 2;          // nodes that may change at once
  double message_loss = 0;                 // probability for each message and for each reply
  double driver_kill_probability = 0;      // at each message
  double driver_pause_probability = 0;     // at each round; the driver then goes on where it was
  double driver_pause_seconds = 30;        // length of such a pause
  double supervisor_kills_per_second = 0;  // probability for each supervisor
  double node_kills_per_second = 0;        // probability for each process of a node
  bool concurrent_drivers = false;         // another driver starts every 20 s beside those that run
  // Nodes partition_first to partition_last can't be reached by a driver from partition_at on, for
  // partition_seconds. -1: no partition. Seconds count from the start of the rollout, here and below.
  int partition_first = -1, partition_last = -1;
  double partition_at = 0, partition_seconds = 0;
  int lost_machine = -1;  // index of a node that disappears for good at lost_machine_at; -1: none
  double lost_machine_at = 0;
  // All nodes fail this additional share of requests, whatever their release. -1: never.
  double fleet_failure_at = -1, fleet_failure_seconds = 30, fleet_failure_share = 0;
  double load_peak_at = -1, load_peak_seconds = 30, load_peak_factor = 1;  // -1: no peak
  double max_seconds = 1800;  // a rollout that has not ended by then counts as unfinished
  // Faults planted in the program's rules, to test that the invariant checks detect them.
  bool accepts_any_epoch = false;       // supervisors accept commands of any epoch
  bool no_lease = false;                // claims never expire, and a new driver does not wait for older ones
  bool ignores_max_concurrent = false;  // drivers change more nodes at once than the plan allows
  bool forgets_last_good = false;       // a restarted supervisor has lost its last good release
};

// Outcome of one simulated rollout.
struct SimulationResult {
  std::vector<std::string> violations;  // of invariants, at most 8
  std::string end;                      // "done", "back", "paused: REASON" or "unfinished"
  double stopped_at = -1;               // seconds until a driver decided to roll back; -1: never
  std::size_t stopped_stage = 0;        // number of the stage at that time, from 1
  std::size_t exposed_nodes = 0;        // nodes on which the new release became ready
  double exposed_requests = 0;          // requests that went to the new release
  double worth_lost = 0;  // priority weight of requests lost to the new release or to no process
  double worth = 0;       // priority weight of all requests
  double seconds = 0;     // length of the rollout
  int drivers = 0;        // number that were started
  int supervisors_killed = 0;
  std::string stop_reason;  // given by the driver that rolled back; empty: none did
};

// Runs one rollout in virtual time. The result depends on the spec only.
SimulationResult RunSimulation(const SimulationSpec& spec);

// Sums over a set of runs.
struct SimulationTotals {
  int runs = 0;
  int stopped = 0;  // runs in which a driver decided to roll back
  int done = 0;     // runs that ended as "done"
  int other = 0;    // runs that neither rolled back nor ended as "done"
  int stopped_in_first_stage = 0;
  double exposed_nodes = 0, exposed_requests = 0, worth_lost = 0, worth = 0, seconds = 0;
  std::vector<std::string> violations;  // with the seed of the run
  std::vector<std::string> ends;        // of the runs that were not done, with their seeds
};
// Runs the spec with `runs` consecutive seeds, starting with its own, on `workers` threads.
SimulationTotals RunSimulations(SimulationSpec spec, int runs, int workers);

}  // namespace ryeglade::rollout_lab
