// A configuration file that lacks a key is sent in with SIGHUP. Class docs is single_shot in the file in
// force and free in the file that lacks the key, of which nothing may be taken. One replica of eight is
// failing. The rule is broken if a request of class docs that may have run is attempted again.
#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kReplicas = 8;  // one of them is failing
constexpr int kClients = 8;
constexpr int kRequestsOfEach = 20;
constexpr double kBudget = 5.0;        // the deadline of class docs, seconds
constexpr double kSettingsBind = 1.2;  // after SIGHUP

int Run(const std::string& run) {
  const Folder folder;
  Attempts attempts;
  Discovery discovery;
  std::vector<std::unique_ptr<Replica>> replicas;
  for (int n = 0; n < kReplicas; ++n) {
    const bool failing = n == 0;
    replicas.push_back(
        std::make_unique<Replica>("s-" + std::to_string(n), &attempts, [failing](const Message&) {
          Behavior behavior;
          if (failing) behavior.status = 500;  // "it may have run": it has
          return behavior;
        }));
    discovery.Add(*replicas.back());
  }

  NodeOptions options;
  options.port = FreePort();
  options.management = FreePort();
  options.discovery = discovery.address();
  options.known = discovery.List();
  options.settings = SettingsText("single_shot");
  const NodeProcess node(options, run, folder.path(), folder.path(), "n0");
  if (!node.WaitReady(10)) throw std::runtime_error("the node is not ready within 10 s");
  Sleep(1.5);

  if (Trouble()) {
    NodeOptions broken = options;
    broken.settings = SettingsText("free");
    broken.without = "limits";
    node.WriteConfig(broken);
    RECORD("platform  replaces the file by one that lacks the key \"%s\", and sends SIGHUP",
           broken.without.c_str());
    node.Signal(SIGHUP);
  }
  Sleep(kSettingsBind + 0.3);
  RECORD("platform  figures: reconfig_ok %.0f, reconfig_failed %.0f", node.Figure("node_reconfig_ok"),
         node.Figure("node_reconfig_failed"));

  std::mutex mutex;
  std::map<std::string, bool> resent;  // by request; what a client itself has sent twice is not judged
  std::vector<std::thread> clients;
  for (int n = 0; n < kClients; ++n) {
    clients.emplace_back([&] {
      Client client(options.port);
      for (int k = 0; k < kRequestsOfEach; ++k) {
        const std::string id = NewId();
        const Answer answer = client.Ask(id, "docs", kBudget);
        {
          const std::lock_guard<std::mutex> lock(mutex);
          resent[id] = answer.resent;
        }
        Sleep(0.05);
      }
    });
  }
  for (std::thread& client : clients) client.join();
  Sleep(0.5);

  // A further attempt is permitted only where each earlier one proves that it never ran; here none does.
  std::map<std::string, std::vector<Attempt>> by_request;
  for (const Attempt& attempt : attempts.All()) by_request[attempt.id].push_back(attempt);
  int failed_first = 0;
  int repeated = 0;
  for (const auto& [id, all] : by_request) {
    if (resent[id]) continue;
    if (all.front().status != 500) continue;  // only an attempt that ran and was answered 500 is judged
    ++failed_first;
    if (all.size() < 2) continue;
    ++repeated;
    RECORD("check  id=%s of class docs (single_shot) ran at %s, and again at %s", id.c_str(),
           all[0].replica.c_str(), all[1].replica.c_str());
  }
  RECORD(
      "check  %zu requests of class docs reached a replica; the first attempt of %d failed; %d were repeated",
      by_request.size(), failed_first, repeated);
  if (failed_first == 0) throw std::runtime_error("no request met the failing replica");
  return repeated > 0 ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
