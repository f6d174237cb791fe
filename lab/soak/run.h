// Plays one plan with real node processes on loopback. Discovery, fake replicas, the links between nodes and
// replicas, the clients and the plan's faults run in this process.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "lab/soak/checker_model.h"
#include "lab/soak/history_model.h"
#include "lab/soak/plan.h"

namespace ryeglade::soak {

struct PlayOptions {
  std::string program;                  // path of the node's program
  std::string preload;                  // a library that is preloaded into the nodes' processes; empty: none
  std::set<FaultKind> excluded_faults;  // faults of the plan that are not applied
  std::function<bool()> interrupted;    // called repeatedly; if it returns true, the play ends with an error
};

struct PlayResult {
  History history;
  std::vector<std::string> logs;  // one for each process, in the order of history.processes
};

// Throws std::runtime_error if something can't be started, if a node is not ready within 20 s, or if the play
// is interrupted.
PlayResult Play(const Plan& plan, const PlayOptions& options);

// Returns one page of evidence for a violation: what clients, replicas, processes and discovery recorded, in
// the order of time, then the node's log lines and its counters.
std::string Evidence(const PlayResult& result, const Violation& violation);

}  // namespace ryeglade::soak
