// Plays one plan with real processes of the node on loopback: discovery and stand-in replicas in this
// process, links between them, clients, and the plan's faults.
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
  std::string program;                  // the node's
  std::string preload;                  // a library for the nodes' processes; empty: none
  std::set<FaultKind> excluded_faults;  // faults of the plan that are left out
  std::function<bool()> interrupted;    // asked now and then; true: the play ends early
};

struct PlayResult {
  History history;
  std::vector<std::string> logs;  // by process, in the order of the history's
};

// Throws std::runtime_error where something can't be started.
PlayResult Play(const Plan& plan, const PlayOptions& options);

// One page for a breach: what clients, replicas, processes, discovery and the node's log say of it, in order
// of time, and the node's counters.
std::string Evidence(const PlayResult& result, const Violation& violation);

}  // namespace ryeglade::soak
