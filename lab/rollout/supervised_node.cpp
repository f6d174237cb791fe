#include "lab/rollout/supervised_node.h"

#include <algorithm>

namespace ryeglade::rollout_lab {

using rollout::ProcessRecord;
using rollout::SupervisorEffect;

void Machine::Boot(KeptNode& node) {
  node.keeper.emplace(node.name, node.zone, rules_.limits, node.disk);
  node.keeper_down = false;
  const auto lives = [&](const ProcessRecord& p) {
    return std::any_of(node.processes.begin(), node.processes.end(),
                       [&](const auto& x) { return x.second.pid == p.pid && p.pid > 0; });
  };
  // The adopted ones get the numbers that the keeper gives them.
  std::map<int, Process> adopted;
  for (const auto& [place, kept] : {std::pair<int, const ProcessRecord*>{1, &node.disk.current},
                                    {2, &node.disk.next},
                                    {3, &node.disk.stopping}}) {
    for (auto& [number, p] : node.processes) {
      if (p.pid == kept->pid && kept->pid > 0) {
        p.number = place;
        adopted[place] = p;
      }
    }
  }
  const bool current = lives(node.disk.current), next = lives(node.disk.next),
             old = lives(node.disk.stopping);
  node.processes = std::move(adopted);
  std::vector<SupervisorEffect> acts;
  node.keeper->Recover(now, current, next, old, acts);
  Carry(node, std::move(acts));
  for (const auto& [number, p] : std::map<int, Process>(node.processes)) {
    if (!p.ready) continue;
    std::vector<SupervisorEffect> more;
    node.keeper->OnProcessReady(now, number, more);
    Carry(node, std::move(more));
  }
}

void Machine::Carry(KeptNode& node, std::vector<SupervisorEffect> acts) {
  for (std::size_t i = 0; i < acts.size(); ++i) {
    const SupervisorEffect act = acts[i];
    const auto at = node.processes.find(act.process);
    switch (act.kind) {
      case SupervisorEffect::Kind::kSaveState:
        node.disk = node.keeper->state();
        break;
      case SupervisorEffect::Kind::kStartProcess: {
        Process p;
        p.number = act.process;
        p.release = act.release;
        p.pid = ++pids_;
        p.started = now;
        p.figures.pid = p.pid;
        p.figures.memory_limit_bytes = rules_.memory_limit;
        p.figures.memory_bytes = std::uint64_t{8} << 20;
        if (rules_.fails_to_start && rules_.fails_to_start(node, act.release)) {
          unstarted_.emplace_back(&node, act.process);
          break;
        }
        node.processes[act.process] = p;
        std::vector<SupervisorEffect> more;
        node.keeper->OnProcessStarted(act.process, {p.pid, 1, ""}, more);
        acts.insert(acts.end(), more.begin(), more.end());
        break;
      }
      case SupervisorEffect::Kind::kTerminateProcess:
        if (at == node.processes.end()) break;
        at->second.leaving = true;
        at->second.ends_at = rules_.deaf && rules_.deaf(at->second.release) ? -1 : now + rules_.ends_in;
        break;
      case SupervisorEffect::Kind::kKillProcess:
        if (at != node.processes.end()) at->second.ends_at = now;
        break;
    }
  }
}

void Machine::End(KeptNode& node, int number) {
  std::vector<SupervisorEffect> acts;
  node.keeper->OnProcessEnded(now, number, "exit 1", acts);
  Carry(node, std::move(acts));
}

void Machine::Tick(KeptNode& node) {
  std::vector<SupervisorEffect> acts;
  node.keeper->OnTick(now, acts);
  Carry(node, std::move(acts));
}

void Machine::EndUnstarted() {
  for (const auto& [node, number] : std::exchange(unstarted_, {})) End(*node, number);
}

}  // namespace ryeglade::rollout_lab
