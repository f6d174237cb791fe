// Scenarios of failures around a node, which runs as a process: system calls that a preloaded library makes
// fail for a while, clients whose disconnection is hard to notice, an early shutdown, an outdated endpoint
// list. `fault_injection PROGRAM LIBRARY NAME` runs one of them, with fault_library as LIBRARY.
#include <atomic>
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <thread>

#include "preloaded.h"
#include "scripted_peers.h"

namespace scripted {
namespace {

std::string program;
// An address at which nothing listens, for nodes that need no discovery.
const std::string kNoDiscovery = "127.0.0.1:9";

// A full endpoint list with `host` as the ready replica s-a.
nlohmann::json ListOf(const ScriptedServer& host, int generation = 1) {
  return EndpointListJson(generation, true, {InstanceJson("s-a", host.address())});
}

// accept4 fails for half a second: the listener stays open, the event loop does not spin, and the client is
// served.
void AcceptFails() {
  for (const int error : {ENOMEM, ENOBUFS, ENFILE, EMFILE}) {
    const PreloadedFault fault("accept4:" + std::to_string(error) + ":500");
    const ScriptedServer host;
    const Node node(program, ListOf(host), kNoDiscovery);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && fault.affected_calls() < 200);  // a spinning loop makes more calls
  }
}

// accept4 fails with an error that concerns one connection only: the node accepts the next one at once.
void AcceptAborts() {
  for (const int error : {ECONNABORTED, EPROTO, ENETUNREACH}) {
    const PreloadedFault fault("accept4:" + std::to_string(error) + ":2");
    const ScriptedServer host;
    const Node node(program, ListOf(host), kNoDiscovery);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && !Contains(node.Log(), "accept-deferred"));
  }
}

// For 200 ms connect fails with an error of the local machine: no attempt is spent and the failure does not
// count against the host.
void ConnectFailsLocally() {
  for (const int error : {EADDRNOTAVAIL, ENOBUFS, ENOMEM}) {
    const ScriptedServer host;
    const PreloadedFault fault("connect:" + std::to_string(error) + ":200:" + std::to_string(host.port()));
    const Node node(program, ListOf(host), kNoDiscovery);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && !Contains(node.Log(), "attempt-ended"));
  }
}

// connect fails because the host can't be reached: the failure counts against the host.
void ConnectFailsAtTheHost() {
  const ScriptedServer host;
  const PreloadedFault fault("connect:" + std::to_string(EHOSTUNREACH) +
                             ":100:" + std::to_string(host.port()));
  const Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  node.WaitForLog("outcome=connect-failed");
}

// The node stops reading from a client that has pipelined more requests than it buffers. It still notices
// that the client has closed the connection, and ends the attempt.
void ClientClosesBehindPipelined() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  std::string pipelined = RequestText("1");
  while (pipelined.size() < 100'000) pipelined += RequestText(std::to_string(pipelined.size()));
  client.Send(pipelined);
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  usleep(100'000);
  client.Close();
  assert(upstream.ReadableWithin(10'000) &&
         upstream.ReadToEnd().empty());  // well before the request's time budget of 30 s
}

// A draining node also answers the requests pipelined behind the open one before it closes the connection.
void AnswersPipelinedWhileDraining() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1") + "GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  node.SendSigterm();
  node.WaitForLog("draining");
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: x\n\n");
  upstream.EndStream();
  const std::string all = client.ReadToEnd();
  assert(Contains(all, "data: x") && Contains(all, "0\r\n\r\nHTTP/1.1 503"));
  assert(all.find(" 503 ") != all.rfind(" 503 ") && Contains(all, "Connection: close"));
  assert(node.WaitForExit() == 0);
}

// SIGKILL may come 0.7 s after the longest deadline in the settings. With a deadline of 1 s, a request whose
// response has not begun is answered before that, although its client would wait for 30 s, and a request that
// is completed late is refused without being sent upstream.
void ExitsByTheDeadline() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  nlohmann::json settings = node.config()["settings"];
  settings["classes"][0]["deadline"] = 1'000'000;
  settings["classes"][0]["promise"] = 500'000;
  node.Reload("settings", settings);
  node.WaitForLog("classes-updated");
  Connection client = node.Connect(), late = node.Connect();
  client.Send(RequestText("1"));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  const std::string request = RequestText("2");
  late.Send(request.substr(0, 60));
  node.SendSigterm();
  node.WaitForLog("draining");
  usleep(800'000);
  late.Send(request.substr(60));
  assert(Contains(late.ReadMessage(), " 503 ") && !host.HasConnectionWithin(0));
  assert(client.ReadableWithin(2'200) &&
         Contains(client.ReadMessage(),
                  " 503 "));  // it would be 3.3 s after SIGTERM without the shorter deadline
  assert(node.WaitForExit() == 0);
}

// Waits until the node has exited by itself and returns how long that took, in ms. The test fails if the node
// still runs after `limit_ms`.
long WaitForExitWithin(const Node& node, long limit_ms) {
  const auto start = std::chrono::steady_clock::now();
  const auto elapsed_ms = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start)
        .count();
  };
  while (!node.HasExited()) {
    assert(elapsed_ms() < limit_ms);
    usleep(1'000);
  }
  return elapsed_ms();
}

// The settings of `node`, with `deadline_us` as the deadline of its class and half of that as its latency
// objective.
nlohmann::json WithDeadline(const Node& node, long deadline_us) {
  nlohmann::json settings = node.config()["settings"];
  settings["classes"][0]["deadline"] = deadline_us;
  settings["classes"][0]["promise"] = deadline_us / 2;
  return settings;
}

// Clients keep connecting while the node drains, each request on a new connection: every connection that was
// established is answered, and the node has exited by itself before SIGKILL may come (1.7 s with a deadline
// of 1 s).
void ExitsWhileClientsKeepConnecting() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.WaitForLog("classes-updated");
  std::atomic<bool> stop{false};
  std::atomic<int> answered{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 8; ++n) {
    clients.emplace_back([&, n] {
      for (int k = 0; !stop; ++k) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in to = Loopback(node.port());
        const bool connected = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
        const std::string request = RequestText(std::to_string(1 + n * 1'000'000 + k), "{}", "0.300");
        char byte = 0;
        if (connected) {
          const bool sent =
              send(fd, request.data(), request.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(request.size());
          ++(sent && recv(fd, &byte, 1, 0) == 1 ? answered : unanswered);
        }
        close(fd);
        if (!connected) usleep(1'000);
      }
    });
  }
  usleep(300'000);
  node.SendSigterm();
  WaitForExitWithin(node, 1'700);
  stop = true;
  for (std::thread& client : clients) client.join();
  std::printf("%d connections answered, %d not answered\n", answered.load(), unanswered.load());
  assert(answered > 0 && unanswered == 0);
}

// At the end of draining an incomplete request gets a 503, and a silent client does not keep the process
// running.
void ExitsWithUnfinishedRequests() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.WaitForLog("classes-updated");
  Connection half = node.Connect(), silent = node.Connect();
  half.Send(RequestText("1").substr(0, 60));
  node.SendSigterm();
  node.WaitForLog("draining");
  usleep(700'000);
  Connection late = node.Connect();
  late.Send(RequestText("2"));
  WaitForExitWithin(node, 1'700);
  assert(Contains(half.ReadMessage(), " 503 ") && Contains(late.ReadMessage(), " 503 "));
}

// Settings with a shorter deadline arrive after SIGTERM: the node exits within the new, shorter time.
void ExitsSoonerAfterReload() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  node.SendSigterm();
  node.WaitForLog("draining");
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.SendSighup();
  node.SendSigterm();
  WaitForExitWithin(node, 1'700);
  assert(Contains(client.ReadMessage(), " 503 "));
  assert(Contains(node.Log(), "draining-already"));
}

// A process that was suspended reads what has arrived meanwhile before it acts on expired timers: an answer
// that waits in the socket does not count as a time-out.
void SuspendedProcessReadsFirst() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1", "{}", "0.800"));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  node.Suspend();
  usleep(50'000);  // the process must have left its wait for sockets before the answer arrives
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: x\n\n");
  upstream.EndStream();
  usleep(1'000'000);
  node.Resume();
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: x"));
}

// Returns true if the process blocks the signal now, according to /proc.
bool BlocksSignal(pid_t pid, int signal) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("SigBlk:", 0) == 0)
      return (std::stoull(line.substr(7), nullptr, 16) >> (signal - 1) & 1) != 0;
  }
  return false;
}

// SIGHUP and SIGTERM arrive while the process still reads its large configuration: it exits with status 0.
void SignalsAtStart() {
  std::vector<nlohmann::json> instances;
  for (int n = 0; n < 20'000; ++n) instances.push_back(InstanceJson("s-" + std::to_string(n), "127.0.0.1:9"));
  char path[] = "/tmp/ryeglade-test-XXXXXX";
  const int fd = mkstemp(path);
  const std::string text =
      nlohmann::json{{"listen", "127.0.0.1:0"},
                     {"discovery", kNoDiscovery},
                     {"known", EndpointListJson(1, true, instances)},
                     {"settings", {{"classes", {{{"name", "docs"}, {"deadline", 500'000}}}}}}}
          .dump();
  assert(write(fd, text.data(), text.size()) == static_cast<ssize_t>(text.size()));
  close(fd);
  const pid_t pid = fork();
  if (pid == 0) {
    execl(program.c_str(), program.c_str(), "serve", "--config", path, nullptr);
    _exit(9);
  }
  for (int n = 0; n < kTimeoutMs && !BlocksSignal(pid, SIGHUP); ++n) usleep(1'000);
  kill(pid, SIGHUP);
  usleep(1'000);
  kill(pid, SIGTERM);
  int status = 0;
  assert(waitpid(pid, &status, 0) == pid);
  std::remove(path);
  assert(WIFEXITED(status) && WEXITSTATUS(status) == 0);
}

// The endpoint list in a node's configuration may be outdated: the node accepts no client before discovery
// has answered. `mode` is the setting membership-mode: "ask" polls discovery, "push" opens a watch.
void ListensOnlyAfterFirstList(const char* mode) {
  const ScriptedServer discovery, gone, host;
  Connection watch;
  std::thread discovery_answers([&] {
    assert(discovery.HasConnectionWithin(kTimeoutMs));
    usleep(300'000);
    watch = AnswerWatch(discovery, EndpointListJson(2, true, {InstanceJson("s-b", host.address())}));
  });
  const Node node(program, ListOf(gone), discovery.address(), mode);
  discovery_answers.join();
  const std::string log = node.Log();
  assert(log.find("scope=full") < log.find("event=listening "));
  Connection client = node.Connect();
  ServeOne(host, client);
  assert(!gone.HasConnectionWithin(0));
}

void FirstPolledListComesFirst() { ListensOnlyAfterFirstList("ask"); }

void FirstPushedListComesFirst() { ListensOnlyAfterFirstList("push"); }

// Where discovery pushes the lists, the node opens a watch by itself and opens it again after it has ended.
void PushedLists() {
  const ScriptedServer discovery, before, after;
  std::future<Connection> first_watch = AnswerWatchAtStart(discovery, EndpointListJson(2, false, {}));
  const Node node(program, ListOf(before), discovery.address(), "push");
  first_watch.get().Close();
  Connection watch =
      AnswerWatch(discovery, EndpointListJson(3, false,
                                              {InstanceJson("s-a", before.address(), "leaving"),
                                               InstanceJson("s-b", after.address())}));
  node.WaitForLog("generation=3");
  Connection client = node.Connect();
  ServeOne(after, client);
  assert(!before.HasConnectionWithin(0));
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  using namespace scripted;
  const std::map<std::string, std::function<void()>> scenarios = {
      {"accept-fails", AcceptFails},
      {"accept-aborts", AcceptAborts},
      {"connect-fails-locally", ConnectFailsLocally},
      {"connect-fails-at-host", ConnectFailsAtTheHost},
      {"client-closes-behind-pipelined", ClientClosesBehindPipelined},
      {"answers-pipelined", AnswersPipelinedWhileDraining},
      {"exits-by-deadline", ExitsByTheDeadline},
      {"exits-while-clients-connect", ExitsWhileClientsKeepConnecting},
      {"exits-with-unfinished-requests", ExitsWithUnfinishedRequests},
      {"exits-sooner-after-reload", ExitsSoonerAfterReload},
      {"suspended-process-reads-first", SuspendedProcessReadsFirst},
      {"signals-at-start", SignalsAtStart},
      {"first-list-first", FirstPolledListComesFirst},
      {"first-pushed-list-first", FirstPushedListComesFirst},
      {"pushed-lists", PushedLists}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 4 && scenarios.contains(argv[3]));
  program = argv[1];
  fault_library_path = argv[2];
  scenarios.at(argv[3])();
  std::printf("ok %s\n", argv[3]);
}
