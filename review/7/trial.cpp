// An operator takes replicas out by hand, one call after another, while a node's process is replaced: each
// call goes to the old process until the new one says yes, and to the new one from then on.
#include "kit.h"

namespace {

using namespace kit;

constexpr int kReplicas = 90;
constexpr int kMostOld = 15;  // calls to the old process, at most, in one upgrade
constexpr int kUpgrades = 5;
constexpr double kKillAfter = 3.7;   // from SIGTERM: the longest deadline, counted as 3 s, plus 0.7 s
constexpr int kCallsToNew = 3;       // the operator stops after so many calls to the new process
constexpr double kCallEvery = 0.01;  // seconds between two calls, as a loop of curl sends them
constexpr double kGrace = 0.75;      // obligations.drain-grace
constexpr double kSlack = 0.05;      // "every time limit is longer by 50 ms"
constexpr double kWatchFor = 5;      // seconds from the last call to the end

struct Call {
  const Replica* replica;
  bool to_new;
  double yes;  // when the node had answered it with 2xx
};

// Returns whether attempts came to the call's replica too late after the node's yes.
bool Broken(const Call& call, Record* record) {
  const std::vector<Attempt> late = call.replica->AttemptsAfter(call.yes + kGrace + kSlack);
  record->Line("%s, taken out at the %s process: %zu attempts later than %.2f s after the yes%s%s",
               call.replica->name().c_str(), call.to_new ? "new" : "old", late.size(), kGrace + kSlack,
               late.empty() ? "" : ", broken, the first is ", late.empty() ? "" : late.front().id.c_str());
  return !late.empty();
}

// Takes replicas out, one call after another, from `*next` on. `new_process` is being started, or null.
void TakeOut(const Node& old_process, const Node* new_process, const std::vector<Replica*>& replicas,
             std::size_t* next, std::vector<Call>* calls, Record* record) {
  bool new_says_yes = false;
  int to_old = 0, to_new = 0;
  const double give_up_at = Now() + 6;  // the new process has 6 s to say yes
  while (to_new < (new_process != nullptr ? kCallsToNew : 0) ||
         (new_process == nullptr && to_old < kMostOld)) {
    const double next_at = Now() + kCallEvery;
    if (new_process != nullptr && !new_says_yes && new_process->Manage("GET", "/control/ready") == 200) {
      new_says_yes = true;
      record->Line("the new process says yes");
    }
    if (new_says_yes || to_old < kMostOld) {
      const Replica* replica = replicas[(*next)++];
      const Node& process = new_says_yes ? *new_process : old_process;
      if (process.Manage("POST", "/control/model-replicas/" + replica->name() + "/offline") / 100 != 2)
        CannotRun("no to " + replica->name());
      calls->push_back({replica, new_says_yes, Now()});
      ++(new_says_yes ? to_new : to_old);
      record->Line("%s offline: yes from the %s process", replica->name().c_str(),
                   new_says_yes ? "new" : "old");
    } else if (Now() > give_up_at) {
      CannotRun("the new process is not ready: " + new_process->Log());
    }
    SleepUntil(next_at);
  }
}

int Run(Record* record) {
  std::vector<Replica*> replicas;
  std::vector<Instance> instances;
  for (int n = 1; n <= kReplicas; ++n) {
    replicas.push_back(new Replica("s-" + std::to_string(n), record));
    instances.push_back({replicas.back()->name(), replicas.back()->address()});
  }
  auto* discovery = new Discovery(record);
  discovery->SetList(41, instances);

  const TemporaryFolder folder;
  NodeSettings settings;
  settings.port = FreePort();
  settings.management = FreePort();
  settings.discovery = discovery->address();
  settings.known = discovery->Known();
  auto process = std::make_unique<Node>(settings, folder.path(), "process-0");
  if (!process->WaitReady(10)) CannotRun("the node is not ready: " + process->Log());
  Clients clients(settings.port, 12, 0.03, record);
  Sleep(2);

  std::vector<Call> calls;
  std::size_t next = 0;
  int status = 0;
  for (int n = 1; n <= kUpgrades; ++n) {
    if (Calm()) {
      TakeOut(*process, nullptr, replicas, &next, &calls, record);
      Sleep(2);
      continue;
    }
    record->Line("a new process is started");
    settings.management = FreePort();
    auto new_process = std::make_unique<Node>(settings, folder.path(), "process-" + std::to_string(n));
    TakeOut(*process, new_process.get(), replicas, &next, &calls, record);
    Sleep(1);
    process->Signal(SIGTERM);
    record->Line("SIGTERM to the old process");
    const double kill_at = Now() + kKillAfter;
    while (Now() < kill_at && !process->Ended(&status)) Sleep(0.02);
    process = std::move(new_process);
  }
  Sleep(kWatchFor);
  clients.Stop();
  if (process->Ended(&status)) CannotRun("the node has ended: " + process->Log());
  if (clients.served() < 200) CannotRun("hardly a request was served");
  int broken = 0;
  for (const Call& call : calls) broken += Broken(call, record) ? 1 : 0;
  record->Line("served %d, other %d; %d of %zu replicas used on: %s", clients.served(), clients.other(),
               broken, calls.size(), broken > 0 ? "broken" : "held");
  return broken > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
