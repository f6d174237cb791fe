// The supervisor's process: starts, watches and stops the processes of one node as the Supervisor state
// machine decides, persists its state in a file, and serves commands on a control address. One event loop;
// what may block (polling the node, checking a release) runs on the loop's worker threads.
#pragma once

#include <string>

#include "rollout/supervisor_model.h"

namespace ryeglade::rollout {

struct SupervisorOptions {
  std::string node, zone;
  std::string directory;    // the supervisor's own: its state, the node's log and $TMPDIR
  std::string control;      // ip:port of the control address
  Release initial_release;  // at the first start only: later the state file has it
  SupervisorLimits limits;
};

// Serves until SIGTERM. Throws std::runtime_error where it can't start: another supervisor has this
// directory, the address is in use, the release can't be read.
void RunSupervisor(const SupervisorOptions& options);

}  // namespace ryeglade::rollout
