#include "lab/rollout/supervised_node.h"

#include <algorithm>

namespace ryeglade::rollout_lab {

using rollout::KeeperAct;
using rollout::KeptProcess;

void Machine::Boot(KeptNode& node) {
  node.keeper.emplace(node.name, node.zone, rules_.limits, node.disk);
  node.keeper_down = false;
  const auto lives = [&](const KeptProcess& p) {
    return std::any_of(node.processes.begin(), node.processes.end(),
                       [&](const auto& x) { return x.second.pid == p.pid && p.pid > 0; });
  };
  // The adopted ones get the numbers that the keeper gives them.
  std::map<int, Process> adopted;
  for (const auto& [place, kept] : {std::pair<int, const KeptProcess*>{1, &node.disk.current},
                                    {2, &node.disk.next},
                                    {3, &node.disk.old}}) {
    for (auto& [number, p] : node.processes) {
      if (p.pid == kept->pid && kept->pid > 0) {
        p.number = place;
        adopted[place] = p;
      }
    }
  }
  const bool current = lives(node.disk.current), next = lives(node.disk.next), old = lives(node.disk.old);
  node.processes = std::move(adopted);
  std::vector<KeeperAct> acts;
  node.keeper->Begin(now, current, next, old, acts);
  Carry(node, std::move(acts));
  for (const auto& [number, p] : std::map<int, Process>(node.processes)) {
    if (!p.ready) continue;
    std::vector<KeeperAct> more;
    node.keeper->Ready(now, number, more);
    Carry(node, std::move(more));
  }
}

void Machine::Carry(KeptNode& node, std::vector<KeeperAct> acts) {
  for (std::size_t i = 0; i < acts.size(); ++i) {
    const KeeperAct act = acts[i];
    const auto at = node.processes.find(act.process);
    switch (act.what) {
      case KeeperAct::What::kSave:
        node.disk = node.keeper->memory();
        break;
      case KeeperAct::What::kStart: {
        Process p;
        p.number = act.process;
        p.release = act.release;
        p.pid = ++pids_;
        p.started = now;
        p.figures.pid = p.pid;
        p.figures.most_memory = rules_.memory_limit;
        p.figures.memory = std::uint64_t{8} << 20;
        if (rules_.fails_to_start && rules_.fails_to_start(node, act.release)) {
          unstarted_.emplace_back(&node, act.process);
          break;
        }
        node.processes[act.process] = p;
        std::vector<KeeperAct> more;
        node.keeper->Started(act.process, {p.pid, 1, ""}, more);
        acts.insert(acts.end(), more.begin(), more.end());
        break;
      }
      case KeeperAct::What::kTerm:
        if (at == node.processes.end()) break;
        at->second.leaving = true;
        at->second.ends_at = rules_.deaf && rules_.deaf(at->second.release) ? -1 : now + rules_.ends_in;
        break;
      case KeeperAct::What::kKill:
        if (at != node.processes.end()) at->second.ends_at = now;
        break;
    }
  }
}

void Machine::End(KeptNode& node, int number) {
  std::vector<KeeperAct> acts;
  node.keeper->Ended(now, number, "exit 1", acts);
  Carry(node, std::move(acts));
}

void Machine::Tick(KeptNode& node) {
  std::vector<KeeperAct> acts;
  node.keeper->Tick(now, acts);
  Carry(node, std::move(acts));
}

void Machine::EndUnstarted() {
  for (const auto& [node, number] : std::exchange(unstarted_, {})) End(*node, number);
}

}  // namespace ryeglade::rollout_lab
