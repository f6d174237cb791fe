#include "lab/rollout/supervised_node.h"

#include <algorithm>

namespace ryeglade::rollout_lab {

using rollout::ProcessRecord;
using rollout::SupervisorEffect;

void NodeSimulator::StartSupervisor(SupervisedNode& node) {
  node.supervisor.emplace(node.name, node.zone, rules_.limits, node.saved_state);
  node.supervisor_down = false;
  const auto lives = [&](const ProcessRecord& p) {
    return std::any_of(node.processes.begin(), node.processes.end(),
                       [&](const auto& x) { return x.second.pid == p.pid && p.pid > 0; });
  };
  // Adopted processes get the numbers by which the supervisor knows them.
  std::map<int, SimulatedProcess> adopted;
  for (const auto& [adopted_number, record] :
       {std::pair<int, const ProcessRecord*>{rollout::Supervisor::kRecoveredCurrent,
                                             &node.saved_state.current},
        {rollout::Supervisor::kRecoveredNext, &node.saved_state.next},
        {rollout::Supervisor::kRecoveredStopping, &node.saved_state.stopping}}) {
    for (auto& [number, p] : node.processes) {
      if (p.pid == record->pid && record->pid > 0) {
        p.number = adopted_number;
        adopted[adopted_number] = p;
      }
    }
  }
  const bool current = lives(node.saved_state.current), next = lives(node.saved_state.next),
             old = lives(node.saved_state.stopping);
  node.processes = std::move(adopted);
  std::vector<SupervisorEffect> effects;
  node.supervisor->Recover(now, current, next, old, effects);
  CarryOut(node, std::move(effects));
  for (const auto& [number, p] : std::map<int, SimulatedProcess>(node.processes)) {
    if (!p.ready) continue;
    std::vector<SupervisorEffect> more_effects;
    node.supervisor->OnProcessReady(now, number, more_effects);
    CarryOut(node, std::move(more_effects));
  }
}

void NodeSimulator::CarryOut(SupervisedNode& node, std::vector<SupervisorEffect> effects) {
  for (std::size_t i = 0; i < effects.size(); ++i) {
    const SupervisorEffect effect = effects[i];
    const auto at = node.processes.find(effect.process);
    switch (effect.kind) {
      case SupervisorEffect::Kind::kSaveState:
        node.saved_state = node.supervisor->state();
        break;
      case SupervisorEffect::Kind::kStartProcess: {
        SimulatedProcess p;
        p.number = effect.process;
        p.release = effect.release;
        p.pid = ++last_pid_;
        p.started = now;
        p.metrics.pid = p.pid;
        p.metrics.memory_limit_bytes = rules_.memory_limit;
        p.metrics.memory_bytes = std::uint64_t{8} << 20;
        if (rules_.fails_to_start && rules_.fails_to_start(node, effect.release)) {
          unstarted_.emplace_back(&node, effect.process);
          break;
        }
        node.processes[effect.process] = p;
        std::vector<SupervisorEffect> more_effects;
        node.supervisor->OnProcessStarted(effect.process, {p.pid, 1, ""}, more_effects);
        effects.insert(effects.end(), more_effects.begin(), more_effects.end());
        break;
      }
      case SupervisorEffect::Kind::kTerminateProcess:
        if (at == node.processes.end()) break;
        at->second.terminating = true;
        at->second.ends_at = rules_.ignores_sigterm && rules_.ignores_sigterm(at->second.release)
                                 ? -1
                                 : now + rules_.stop_duration;
        break;
      case SupervisorEffect::Kind::kKillProcess:
        if (at != node.processes.end()) at->second.ends_at = now;
        break;
    }
  }
}

void NodeSimulator::EndProcess(SupervisedNode& node, int number) {
  std::vector<SupervisorEffect> effects;
  node.supervisor->OnProcessEnded(now, number, "exit 1", effects);
  CarryOut(node, std::move(effects));
}

void NodeSimulator::TickSupervisor(SupervisedNode& node) {
  std::vector<SupervisorEffect> effects;
  node.supervisor->OnTick(now, effects);
  CarryOut(node, std::move(effects));
}

void NodeSimulator::EndUnstartedProcesses() {
  for (const auto& [node, number] : std::exchange(unstarted_, {})) EndProcess(*node, number);
}

}  // namespace ryeglade::rollout_lab
