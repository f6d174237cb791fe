// Operators take two replicas out while a node's process is replaced: one by a call to the old process, the
// other by a call to the new one.
#include "kit.h"

namespace {

using namespace kit;

constexpr double kGrace = 0.75;  // obligations.drain-grace
constexpr double kSlack = 0.05;  // "every time limit is longer by 50 ms"
constexpr double kWatchFor = 5;  // seconds from the calls to the end

// Returns the number of attempts that came to `replica` too late after the node's yes.
int LateAttempts(const Replica& replica, double yes, Record* record) {
  int late = 0;
  for (const Attempt& attempt : replica.AttemptsAfter(yes + kGrace + kSlack)) {
    if (++late <= 3)
      record->Line("broken: %s came to %s %.3f s after the yes", attempt.id.c_str(), attempt.replica.c_str(),
                   attempt.at - yes);
  }
  record->Line("%s: %d attempts later than %.2f s after the yes", replica.name().c_str(), late,
               kGrace + kSlack);
  return late;
}

int Run(Record* record) {
  std::vector<Replica*> replicas;
  std::vector<Instance> instances;
  for (int n = 1; n <= 5; ++n) {
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
  Node old_process(settings, folder.path(), "old");
  if (!old_process.WaitReady(10)) CannotRun("the node is not ready: " + old_process.Log());
  Clients clients(settings.port, 6, 0.05, record);
  Sleep(3);

  settings.management = FreePort();
  std::unique_ptr<Node> new_process;
  if (!Calm()) {
    new_process = std::make_unique<Node>(settings, folder.path(), "new");
    if (!new_process->WaitReady(6)) CannotRun("the new process is not ready: " + new_process->Log());
    record->Line("the new process says yes");
  }
  const Node& second = new_process ? *new_process : old_process;
  if (old_process.Manage("POST", "/control/model-replicas/s-1/offline") / 100 != 2) CannotRun("no to s-1");
  const double yes_1 = Now();
  record->Line("yes to s-1 offline");
  if (second.Manage("POST", "/control/model-replicas/s-2/offline") / 100 != 2) CannotRun("no to s-2");
  const double yes_2 = Now();
  record->Line("yes to s-2 offline");
  if (new_process) {
    Sleep(1);
    old_process.Signal(SIGTERM);
    record->Line("SIGTERM to the old process");
  }
  SleepUntil(yes_2 + kWatchFor);
  clients.Stop();
  if (clients.served() < 50) CannotRun("hardly a request was served");
  const int late = LateAttempts(*replicas[0], yes_1, record) + LateAttempts(*replicas[1], yes_2, record);
  record->Line("served %d, other %d: %s", clients.served(), clients.other(), late > 0 ? "broken" : "held");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
