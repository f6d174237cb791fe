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

struct Process {
  int number = 0;
  rollout::Release release;
  std::int64_t pid = 0;
  Time started = 0;
  bool ready = false, leaving = false;
  Time ends_at = -1;
  rollout::NodeMetrics figures;
  double asked = 0;
};

struct KeptNode {
  std::string name, zone;
  std::optional<rollout::Supervisor> keeper;
  std::map<int, Process> processes;
  bool keeper_down = false;
  Time keeper_back = 0;
  rollout::SupervisorState disk;
};

// The machine of the nodes: its clock, and what releases do as processes.
class Machine {
 public:
  struct Rules {
    rollout::SupervisorLimits limits;
    Time ends_in = 2'000'000;  // from SIGTERM
    std::uint64_t memory_limit = 0;
    std::function<bool(const KeptNode&, const rollout::Release&)> fails_to_start;  // null: none does
    std::function<bool(const rollout::Release&)> deaf;                             // to SIGTERM; null: none
  };
  explicit Machine(Rules rules) : rules_(std::move(rules)) {}

  Time now = 0;
  // A keeper begins, the first or one behind another.
  void Boot(KeptNode& node);
  void Carry(KeptNode& node, std::vector<rollout::SupervisorEffect> acts);
  void End(KeptNode& node, int number);  // a process has ended, and its keeper runs
  void Tick(KeptNode& node);
  // Those that did not even start end now.
  void EndUnstarted();

 private:
  Rules rules_;
  std::int64_t pids_ = 0;
  std::vector<std::pair<KeptNode*, int>> unstarted_;
};

}  // namespace ryeglade::rollout_lab
