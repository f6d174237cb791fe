// The supervisor as a process: it starts, watches and stops the processes of one node as the Supervisor state
// machine decides, persists that machine's state in a file, and serves commands on a control address. It has
// one event loop; work that may block (polling the node, checking a release) runs on the loop's worker
// threads.
#pragma once

#include <string>

#include "rollout/supervisor_model.h"

namespace ryeglade::rollout {

struct SupervisorOptions {
  std::string node, zone;   // names; the zone may be empty
  std::string directory;    // of this supervisor alone: its state, the node's log and the node's $TMPDIR
  std::string control;      // ip:port of the control address
  Release initial_release;  // used at the first start only; later starts read the state file
  SupervisorLimits limits;
};

// Runs until SIGTERM or SIGINT. Throws std::runtime_error if it can't start, for example because another
// supervisor uses this directory, the address is in use or the state file can't be read.
void RunSupervisor(const SupervisorOptions& options);

}  // namespace ryeglade::rollout
