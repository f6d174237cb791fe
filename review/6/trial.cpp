// Bad clients by the hundreds stop in the middle of a request and stay; turned away, they come again. Usual
// clients with a short deadline send their requests on new connections all the while.
#include <sys/resource.h>

#include "kit.h"

namespace {

using namespace kit;

constexpr int kBadClients = 800;
constexpr int kBadThreads = 8;
constexpr int kUsualClients = 12;
constexpr int kDeadlineUs = 600000;
constexpr double kBudget = 0.33;  // 55% of the deadline: "A try is given up after 50 to 60%"
constexpr double kLate = 0.5;     // "Up to half a second after its time it only earns nothing"
constexpr double kSlack = 0.1;    // 50 ms of the page, and 50 ms for this test's own threads
constexpr double kPlayFor = 12;

// Sends the head and a part of the body of a request on each of its connections, and says no more. A
// connection that the node has closed or answered is replaced.
void RunBadClients(int port, int count, const std::atomic<bool>* stop) {
  std::vector<pollfd> sockets(static_cast<std::size_t>(count), pollfd{-1, 0, 0});
  while (!*stop) {
    int opened = 0;
    for (pollfd& each : sockets) {
      if (each.fd >= 0 || ++opened > 40) continue;
      each.fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
      const sockaddr_in address = Loopback(port);
      if (each.fd >= 0) connect(each.fd, reinterpret_cast<const sockaddr*>(&address), sizeof address);
      each.events = POLLIN | POLLOUT;
    }
    poll(sockets.data(), sockets.size(), 20);
    for (pollfd& each : sockets) {
      if (each.fd < 0) continue;
      if ((each.revents & POLLOUT) != 0 && (each.revents & (POLLERR | POLLHUP)) == 0) {
        const std::string whole = RequestText(NewId(), 2);
        send(each.fd, whole.data(), whole.size() - 40, MSG_NOSIGNAL);
        each.events = POLLIN;
      }
      char bytes[4096];
      const bool readable = (each.revents & (POLLIN | POLLHUP | POLLERR)) != 0;
      if (readable && recv(each.fd, bytes, sizeof bytes, 0) <= 0) {
        close(each.fd);
        each.fd = -1;
      }
    }
  }
  for (const pollfd& each : sockets) {
    if (each.fd >= 0) close(each.fd);
  }
}

int Run(Record* record) {
  rlimit files{};
  getrlimit(RLIMIT_NOFILE, &files);
  files.rlim_cur = files.rlim_max;
  setrlimit(RLIMIT_NOFILE, &files);

  std::vector<Instance> instances;
  for (int n = 1; n <= 4; ++n) {
    auto* replica = new Replica("s-" + std::to_string(n), record);
    instances.push_back({replica->name(), replica->address()});
  }
  auto* discovery = new Discovery(record);
  discovery->SetList(41, instances);
  const TemporaryFolder folder;
  NodeSettings settings;
  settings.port = FreePort();
  settings.discovery = discovery->address();
  settings.known = discovery->Known();
  settings.sockets = 256;
  settings.docs_deadline_us = kDeadlineUs;
  Node node(settings, folder.path(), "node");
  if (!node.WaitHealthy(10)) CannotRun("the node is not ready: " + node.Log());

  std::atomic<bool> stop{false};
  std::vector<std::thread> threads;
  for (int n = 0; n < kBadThreads && !Calm(); ++n)
    threads.emplace_back([&] { RunBadClients(settings.port, kBadClients / kBadThreads, &stop); });
  if (!Calm()) record->Line("%d bad clients begin", kBadClients);
  Sleep(1);

  std::atomic<int> in_time{0}, late{0}, shut{0}, lost{0};
  for (int n = 0; n < kUsualClients; ++n) {
    threads.emplace_back([&] {
      while (!stop) {
        const int fd = ConnectTo(settings.port);
        if (fd < 0) {
          ++shut;
          Sleep(0.05);
          continue;
        }
        const std::string id = NewId();
        const bool sent = SendAll(fd, RequestText(id, kBudget));
        const double at = Now();
        record->Line("sent %s", id.c_str());
        // The first byte of the answer is waited for, longer than the rule allows.
        std::string buffer;
        const int more = sent ? ReadMore(fd, &buffer, at + kBudget + kLate + 2) : 0;
        const double after = Now() - at;
        if (more == 0) {
          ++shut;  // closed or reset without an answer: the client may send it again
          record->Line("shut %s after %.3f s", id.c_str(), after);
        } else if (more < 0 || after > kBudget + kLate + kSlack) {
          ++lost;
          record->Line("lost %s: %s after %.3f s", id.c_str(), more < 0 ? "nothing" : "an answer", after);
        } else {
          ++(after <= kBudget ? in_time : late);
          record->Line("answered %s status %.3s after %.3f s", id.c_str(),
                       buffer.size() > 12 ? buffer.c_str() + 9 : "?", after);
        }
        if (more > 0) ReadAnswer(fd, &buffer, Now() + 2);
        close(fd);
        Sleep(0.05);
      }
    });
  }
  Sleep(kPlayFor);
  stop = true;
  for (std::thread& thread : threads) thread.join();
  int status = 0;
  if (node.Ended(&status)) CannotRun("the node has ended: " + node.Log());
  const int all = in_time + late + shut + lost;
  if (all < 50) CannotRun("hardly a request was sent");
  record->Line("%d usual requests: %d answered in time, %d up to half a second late, %d shut, %d lost: %s",
               all, in_time.load(), late.load(), shut.load(), lost.load(), lost > 0 ? "broken" : "held");
  return lost > 0 ? 1 : 0;
}

}  // namespace

int main(int argc, char** argv) { return kit::Main(argc, argv, Run); }
