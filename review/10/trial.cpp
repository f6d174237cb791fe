// Lists are asked for. Discovery is down for 8 s, into the start of a release: a replica begins to drain.
// When discovery is back it has many callers: the first two calls of each node wait for 1 s and are refused.
#include "kit.h"

namespace {

using namespace kit;

constexpr int kNodes = 3;
constexpr double kDownFor = 8;       // "discovery is down for 8 s"
constexpr double kToldAfter = 6;     // "told at the latest 6 s after discovery had it and could be reached"
constexpr double kGrace = 0.75;      // obligations.drain-grace
constexpr double kSlack = 0.05;      // "every time limit is longer by 50 ms"
constexpr double kRefusedAfter = 1;  // discovery's own limit for a call that waits (timeout_ms)
constexpr double kAnsweredAfter = 0.9;  // so long do the calls wait that are answered
constexpr int kRefused = 2;             // calls of each node after the return

int Run(Record* record) {
  std::vector<Replica*> replicas;
  std::vector<Instance> instances;
  for (int n = 1; n <= 5; ++n) {
    replicas.push_back(new Replica("s-" + std::to_string(n), record));
    instances.push_back({replicas.back()->name(), replicas.back()->address()});
  }
  // Each node calls an address of its own, so that its calls can be counted; all tell the same list.
  std::vector<Discovery*> discoveries;
  const TemporaryFolder folder;
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<std::unique_ptr<Clients>> clients;
  for (int n = 0; n < kNodes; ++n) {
    discoveries.push_back(new Discovery(record));
    discoveries.back()->SetList(41, instances);
    NodeSettings settings;
    settings.name = "n" + std::to_string(n);
    settings.port = FreePort();
    settings.discovery = discoveries.back()->address();
    settings.known = discoveries.back()->Known();
    nodes.push_back(std::make_unique<Node>(settings, folder.path(), settings.name));
    if (!nodes.back()->WaitHealthy(10)) CannotRun("a node is not ready: " + nodes.back()->Log());
    clients.push_back(std::make_unique<Clients>(settings.port, 4, 0.05, record));
  }
  Sleep(3);
  if (!Calm()) {
    for (Discovery* discovery : discoveries) discovery->SetDown(true);
    record->Line("discovery is down");
  }
  Sleep(kDownFor / 2);
  instances[4].state = "leaving";
  for (Discovery* discovery : discoveries) discovery->SetList(42, instances);
  record->Line("s-5 begins to drain, generation 42");
  Sleep(kDownFor / 2);
  for (Discovery* discovery : discoveries) {
    if (!Calm()) {
      auto* calls = new std::atomic<int>(0);
      discovery->SetGate([calls] {
        const bool refused = ++*calls <= kRefused;
        Sleep(refused ? kRefusedAfter : kAnsweredAfter);
        return !refused;
      });
    }
    discovery->SetDown(false);
  }
  const double back = Now();
  record->Line("discovery is back");
  SleepUntil(back + kToldAfter + 6);
  int served = 0;
  for (const auto& each : clients) {
    each->Stop();
    served += each->served();
  }
  if (served < 200) CannotRun("hardly a request was served");
  int late = 0;
  double last = 0;
  for (const Attempt& attempt : replicas[4]->AttemptsAfter(back + kToldAfter + kGrace + kSlack)) {
    last = std::max(last, attempt.at - back);
    if (++late <= 3)
      record->Line("broken: %s came to s-5 %.3f s after the return", attempt.id.c_str(), attempt.at - back);
  }
  record->Line("s-5: %d attempts later than %.2f s after the return, the last at %.3f s; served %d: %s", late,
               kToldAfter + kGrace + kSlack, last, served, late > 0 ? "broken" : "held");
  return late > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
