// Two model replicas are taken out by hand while the node's process is replaced: one call goes to the old
// process, the next one to the new process. Both say yes. The rule is broken if new work goes to one of the
// two later than the grace of drains after its yes.
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kReplicas = 4;
constexpr int kClients = 8;
constexpr double kBudget = 5.0;         // the deadline of class docs, seconds
constexpr double kBetweenCalls = 0.01;  // from the first yes to the second call
constexpr double kGrace = 0.75;         // obligations.drain-grace
constexpr double kSlack = 0.05;         // of every time limit on sockets
constexpr double kObserved = 6.0;       // after the second yes

struct Out {
  std::string replica;
  double yes = 0;  // when the node said yes
};

Out TakeOut(const NodeProcess& process, const char* which, const std::string& replica) {
  const int status = process.Call("POST", "/control/model-replicas/" + replica + "/offline");
  const Out out{replica, Now()};
  RECORD("operator  takes %s out at the %s process: answered %d", replica.c_str(), which, status);
  if (status < 200 || status > 299) throw std::runtime_error("a call out is not answered with a yes");
  return out;
}

int Run(const std::string& run) {
  const Folder folder;
  Attempts attempts;
  Discovery discovery;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    replicas.push_back(std::make_unique<Replica>("s-" + std::to_string(n), &attempts,
                                                 [](const Message&) { return Behavior(); }));
    discovery.Add(*replicas.back());
  }
  NodeOptions options;
  options.port = FreePort();
  options.management = FreePort();
  options.discovery = discovery.address();
  options.known = discovery.List();
  options.settings = SettingsText("free");
  NodeProcess old_process(options, run, folder.path(), folder.path(), "old");
  if (!old_process.WaitReady(10)) throw std::runtime_error("the node is not ready within 10 s");

  std::atomic<bool> stop{false};
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&] {
      Client client(options.port);
      while (!stop) {
        client.Ask(NewId(), "docs", kBudget);
        Sleep(0.02);
      }
    });
  }
  Sleep(3);

  // `run` is started again with the same addresses, a new second address and the same $TMPDIR.
  std::unique_ptr<NodeProcess> new_process;
  NodeOptions again = options;
  if (Trouble()) {
    again.management = FreePort();
    new_process = std::make_unique<NodeProcess>(again, run, folder.path(), folder.path(), "new");
    if (!new_process->WaitReady(6)) throw std::runtime_error("the new process did not say yes within 6 s");
    RECORD("platform  the new process says yes");
  }
  Sleep(0.5);
  std::vector<Out> out;
  out.push_back(TakeOut(old_process, "old", "s-0"));
  Sleep(kBetweenCalls);
  out.push_back(new_process ? TakeOut(*new_process, "new", "s-1") : TakeOut(old_process, "old", "s-1"));
  Sleep(1.0);
  if (new_process) {
    RECORD("platform  sends SIGTERM to the old process");
    old_process.Signal(SIGTERM);
  }
  Sleep(kObserved - 1.0);
  stop = true;
  for (std::thread& client : clients) client.join();

  int late = 0;
  for (const Out& one : out) {
    int sent = 0;
    for (const Attempt& attempt : attempts.All()) {
      if (attempt.replica != one.replica || attempt.begun <= one.yes + kGrace + kSlack) continue;
      if (sent++ == 0) {
        RECORD("check  id=%s began at %s %.3f s after the node's yes", attempt.id.c_str(),
               one.replica.c_str(), attempt.begun - one.yes);
      }
    }
    RECORD("check  %s got %d new requests later than %.2f s after the node's yes", one.replica.c_str(), sent,
           kGrace + kSlack);
    late += sent;
  }
  return late > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
