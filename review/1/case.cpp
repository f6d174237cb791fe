// Bad clients send hundreds of requests at once, each on a connection of its own. The platform kills a
// process that is over its memory limit, as it says. The rule is broken if the node is over its limit, or has
// ended.
#include <algorithm>

#include "stand_ins.h"

namespace {

using namespace review;

constexpr int kReplicas = 4;
constexpr int kClients = 8;            // the usual clients
constexpr int kBadClients = 200;       // under a third of the 1,024 descriptors
constexpr int kAtOnce = 400;           // requests that a bad client sends at once
constexpr std::size_t kPrompt = 2048;  // bytes of the prompt of each: 512 tokens
constexpr int kMemoryMb = 192;         // the limit
constexpr double kBudget = 5.0;        // the deadline of class docs, seconds
constexpr double kLength = 45.0;       // the case looks for so long

// Sends at full speed and reads whatever it is sent; does the same again when the node has closed.
void BeBad(int port, const std::atomic<bool>& stop) {
  while (!stop) {
    Socket socket = Socket::Connect(port);
    std::string requests;
    for (int n = 0; n < kAtOnce; ++n) requests += RequestText(NewId(), "docs", kBudget, kPrompt);
    std::size_t sent = 0;
    while (socket.open() && !stop) {
      const short wanted = sent < requests.size() ? POLLIN | POLLOUT : POLLIN;
      pollfd p{socket.fd(), wanted, 0};
      if (poll(&p, 1, 100) <= 0) continue;
      char bytes[65536];
      if ((p.revents & (POLLIN | POLLHUP | POLLERR)) != 0 &&
          recv(socket.fd(), bytes, sizeof bytes, MSG_DONTWAIT) <= 0)
        break;
      if ((p.revents & POLLOUT) == 0) continue;
      const ssize_t n =
          send(socket.fd(), requests.data() + sent, requests.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
      if (n > 0) sent += static_cast<std::size_t>(n);
    }
    Sleep(0.05);
  }
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
  options.memory_mb = kMemoryMb;
  options.discovery = discovery.address();
  options.known = discovery.List();
  options.settings = SettingsText("free");
  NodeProcess node(options, run, folder.path(), folder.path(), "n0");
  if (!node.WaitReady(10)) throw std::runtime_error("the node is not ready within 10 s");

  std::atomic<bool> stop{false};
  std::atomic<int> answered{0};
  std::atomic<int> unanswered{0};
  std::vector<std::thread> threads;
  for (int n = 0; n < kClients; ++n) {
    threads.emplace_back([&] {
      Client client(options.port);
      while (!stop) {
        const Answer answer = client.Ask(NewId(), "docs", kBudget);
        ++(answer.status != 0 && answer.whole ? answered : unanswered);
        Sleep(0.1);
      }
    });
  }
  Sleep(3);
  RECORD("platform  the node has %.1f MiB of its own; its limit is %d", node.MemoryMb(), kMemoryMb);
  if (node.MemoryMb() <= 0) {
    stop = true;
    for (std::thread& thread : threads) thread.join();
    throw std::runtime_error("the node's memory cannot be read");
  }
  if (Trouble()) {
    RECORD("bad clients  %d begin to send %d requests at once", kBadClients, kAtOnce);
    for (int n = 0; n < kBadClients; ++n) threads.emplace_back([&] { BeBad(options.port, stop); });
  }
  bool broken = false;
  double most = 0;
  double told = Now();
  for (const double until = Now() + kLength; Now() < until && !broken; Sleep(0.02)) {
    const double memory = node.MemoryMb();
    most = std::max(most, memory);
    broken = memory == 0 || memory > kMemoryMb;
    if (!broken && Now() < told + 1) continue;
    told = Now();
    RECORD("platform  the node has %.1f MiB of its own", memory);
  }
  if (broken) {
    RECORD("platform  kills the node: over its limit of %d MiB", kMemoryMb);
    node.Signal(SIGKILL);
    Sleep(0.5);
  }
  stop = true;
  for (std::thread& thread : threads) thread.join();
  RECORD("check  the usual clients got %d answers; %d of their requests got none, or not all of it",
         answered.load(), unanswered.load());
  RECORD("check  at most %.1f MiB; limit %d", most, kMemoryMb);
  return broken ? kBroken : kHeld;
}

}  // namespace

int main(int argc, char** argv) { return review::Main(argc, argv, Run); }
