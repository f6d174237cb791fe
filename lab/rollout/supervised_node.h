// A node in virtual time: the program's own supervisor, the state that it has saved, and the processes that
// it started. A process is modelled by its release and by the times at which it becomes ready and ends. Used
// by the simulation and by the explorer.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/supervisor_model.h"

namespace ryeglade::rollout_lab {

using rollout::Time;

struct SimulatedProcess {
  int number = 0;  // given by the supervisor
  rollout::Release release;
  std::int64_t pid = 0;
  Time started = 0;
  bool ready = false, terminating = false;
  Time ends_at = -1;  // -1: no end is scheduled
  rollout::NodeMetrics metrics;
  double requests = 0;  // sent to it
};

struct SupervisedNode {
  std::string name, zone;
  std::optional<rollout::Supervisor> supervisor;  // keeps its last state while supervisor_down
  std::map<int, SimulatedProcess> processes;      // by number
  bool supervisor_down = false;
  Time supervisor_restart_at = 0;        // if supervisor_down
  rollout::SupervisorState saved_state;  // on disk
};

// Runs the nodes: holds the clock, starts and ends processes, and carries out what supervisors decide.
class NodeSimulator {
 public:
  struct Rules {
    rollout::SupervisorLimits limits;
    Time stop_duration = 2'000'000;  // from SIGTERM to the end of a process
    std::uint64_t memory_limit = 0;  // bytes, as processes report it
    // Null: all processes start, and all end after SIGTERM.
    std::function<bool(const SupervisedNode&, const rollout::Release&)> fails_to_start;
    std::function<bool(const rollout::Release&)> ignores_sigterm;
  };
  explicit NodeSimulator(Rules rules) : rules_(std::move(rules)) {}

  Time now = 0;
  // Starts the node's first supervisor, or one in place of another, which adopts the living processes.
  void StartSupervisor(SupervisedNode& node);
  // Applies the effects to the node's saved state and processes, and the effects that follow from them.
  void CarryOut(SupervisedNode& node, std::vector<rollout::SupervisorEffect> effects);
  // Reports the end of a process to the node's supervisor, which must be running.
  void EndProcess(SupervisedNode& node, int number);
  // Calls the supervisor's periodic work for the current time.
  void TickSupervisor(SupervisedNode& node);
  // Reports the end of the processes that failed to start to their supervisors.
  void EndUnstartedProcesses();

 private:
  Rules rules_;
  std::int64_t last_pid_ = 0;
  std::vector<std::pair<SupervisedNode*, int>> unstarted_;  // processes that failed to start, by number
};

}  // namespace ryeglade::rollout_lab
