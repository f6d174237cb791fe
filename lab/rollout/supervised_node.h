// A node in virtual time: the program's own keeper, what it holds on disk, and the processes it started, of
// which no more is known than when they are ready and when they end. The trials and the explorer host it.
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
  int number = 0;
  rollout::Release release;
  std::int64_t pid = 0;
  Time started = 0;
  bool ready = false, terminating = false;
  Time ends_at = -1;
  rollout::NodeMetrics metrics;
  double requests = 0;
};

struct SupervisedNode {
  std::string name, zone;
  std::optional<rollout::Supervisor> supervisor;
  std::map<int, SimulatedProcess> processes;
  bool supervisor_down = false;
  Time supervisor_restart_at = 0;
  rollout::SupervisorState saved_state;
};

// The machine of the nodes: its clock, and what releases do as processes.
class NodeSimulator {
 public:
  struct Rules {
    rollout::SupervisorLimits limits;
    Time stop_duration = 2'000'000;  // from SIGTERM
    std::uint64_t memory_limit = 0;
    std::function<bool(const SupervisedNode&, const rollout::Release&)> fails_to_start;  // null: none does
    std::function<bool(const rollout::Release&)> ignores_sigterm;  // to SIGTERM; null: none
  };
  explicit NodeSimulator(Rules rules) : rules_(std::move(rules)) {}

  Time now = 0;
  // A keeper begins, the first or one behind another.
  void StartSupervisor(SupervisedNode& node);
  void CarryOut(SupervisedNode& node, std::vector<rollout::SupervisorEffect> effects);
  void EndProcess(SupervisedNode& node, int number);  // a process has ended, and its keeper runs
  void TickSupervisor(SupervisedNode& node);
  // Those that did not even start end now.
  void EndUnstartedProcesses();

 private:
  Rules rules_;
  std::int64_t pids_ = 0;
  std::vector<std::pair<SupervisedNode*, int>> unstarted_;
};

}  // namespace ryeglade::rollout_lab
