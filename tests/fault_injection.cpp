// Scenarios of failures around a node as a process: system calls that fail for a while (a preloaded library),
// clients that leave unseen, an early end, a list that is old. `fault_injection PROGRAM LIBRARY NAME` plays
// one of them.
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
const std::string kNobody = "127.0.0.1:9";  // discovery that the node never needs

nlohmann::json ListOf(const ScriptedServer& host, int generation = 1) {
  return EndpointListJson(generation, true, {InstanceJson("s-a", host.address())});
}

// Accept fails for half a second: the listener is not lost, the loop does not spin on it, the client is
// served.
void AcceptFails() {
  for (const int error : {ENOMEM, ENOBUFS, ENFILE, EMFILE}) {
    const PreloadedFault fault("accept4:" + std::to_string(error) + ":500");
    const ScriptedServer host;
    const Node node(program, ListOf(host), kNobody);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && fault.affected_calls() < 200);
  }
}

// The same for errors that belong to one connection: the next is taken at once.
void AcceptAborts() {
  for (const int error : {ECONNABORTED, EPROTO, ENETUNREACH}) {
    const PreloadedFault fault("accept4:" + std::to_string(error) + ":2");
    const ScriptedServer host;
    const Node node(program, ListOf(host), kNobody);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && !Contains(node.Log(), "accept-deferred"));
  }
}

// This machine can't open a connection for a moment: no attempt is spent and nothing is held against the
// host.
void ConnectFailsHere() {
  for (const int error : {EADDRNOTAVAIL, ENOBUFS, ENOMEM}) {
    const ScriptedServer host;
    const PreloadedFault fault("connect:" + std::to_string(error) + ":200:" + std::to_string(host.port()));
    const Node node(program, ListOf(host), kNobody);
    Connection client = node.Connect();
    ServeOne(host, client);
    assert(fault.affected_calls() > 0 && !Contains(node.Log(), "attempt-ended"));
  }
}

// The host can't be reached: that is evidence on the host.
void ConnectFailsThere() {
  const ScriptedServer host;
  const PreloadedFault fault("connect:" + std::to_string(EHOSTUNREACH) +
                             ":100:" + std::to_string(host.port()));
  const Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  node.WaitForLog("outcome=connect-failed");
}

// A client that sends much ahead is not read on; that it has gone is noticed all the same, and its attempt
// ends.
void GoneBehindPipelined() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  std::string many = RequestText("1");
  while (many.size() < 100'000) many += RequestText(std::to_string(many.size()));
  client.Send(many);
  Connection up = host.Accept();
  up.ReadMessage();
  usleep(100'000);
  client.Close();
  assert(up.ReadableWithin(10'000) && up.ReadToEnd().empty());  // its budget is 30 s
}

// While a node ends it answers what it has read behind a request too, before the connection goes.
void AnswersPipelinedAtTheEnd() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1") + "GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");
  Connection up = host.Accept();
  up.ReadMessage();
  node.SendSigterm();
  node.WaitForLog("draining");
  up.Send(kStreamHead);
  up.SendChunk("data: x\n\n");
  up.SendChunk("");
  const std::string all = client.ReadToEnd();
  assert(Contains(all, "data: x") && Contains(all, "0\r\n\r\nHTTP/1.1 503"));
  assert(all.find(" 503 ") != all.rfind(" 503 ") && Contains(all, "Connection: close"));
  assert(node.WaitForExit() == 0);
}

// SIGKILL may come 0.7 s after the longest deadline that the settings tell: with one of 1 s, what has not
// begun is answered before that, although its client would wait for 30 s, and what comes late is refused
// unsent.
void EndsByTheSettings() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  nlohmann::json settings = node.config()["settings"];
  settings["classes"][0]["deadline"] = 1'000'000;
  settings["classes"][0]["promise"] = 500'000;
  node.Reload("settings", settings);
  node.WaitForLog("classes-updated");
  Connection client = node.Connect(), late = node.Connect();
  client.Send(RequestText("1"));
  Connection up = host.Accept();
  up.ReadMessage();
  const std::string ask = RequestText("2");
  late.Send(ask.substr(0, 60));
  node.SendSigterm();
  node.WaitForLog("draining");
  usleep(800'000);
  late.Send(ask.substr(60));
  assert(Contains(late.ReadMessage(), " 503 ") && !host.HasConnectionWithin(0));
  assert(client.ReadableWithin(2'200) &&
         Contains(client.ReadMessage(), " 503 "));  // 3.3 s after SIGTERM without that
  assert(node.WaitForExit() == 0);
}

// Milliseconds until the node has ended by itself after SIGTERM; fails if it has not after `most`.
long EndsWithin(const Node& node, long most) {
  const auto began = std::chrono::steady_clock::now();
  const auto gone = [&] {
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - began)
        .count();
  };
  while (!node.HasExited()) {
    assert(gone() < most);
    usleep(1'000);
  }
  return gone();
}

nlohmann::json WithDeadline(const Node& node, long deadline_us) {
  nlohmann::json settings = node.config()["settings"];
  settings["classes"][0]["deadline"] = deadline_us;
  settings["classes"][0]["promise"] = deadline_us / 2;
  return settings;
}

// Clients that keep coming, each request on a connection of its own: every connection that came up is
// answered, and the node has ended by itself before SIGKILL may come (1.7 s with a deadline of 1 s).
void EndsWhileClientsKeepComing() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.WaitForLog("classes-updated");
  std::atomic<bool> over{false};
  std::atomic<int> answered{0}, unanswered{0};
  std::vector<std::thread> clients;
  for (int n = 0; n < 8; ++n) {
    clients.emplace_back([&, n] {
      for (int k = 0; !over; ++k) {
        const int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in to = Loopback(node.port());
        const bool up = connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0;
        const std::string ask = RequestText(std::to_string(1 + n * 1'000'000 + k), "{}", "0.300");
        char byte = 0;
        if (up) {
          const bool sent =
              send(fd, ask.data(), ask.size(), MSG_NOSIGNAL) == static_cast<ssize_t>(ask.size());
          ++(sent && recv(fd, &byte, 1, 0) == 1 ? answered : unanswered);
        }
        close(fd);
        if (!up) usleep(1'000);
      }
    });
  }
  usleep(300'000);
  node.SendSigterm();
  EndsWithin(node, 1'700);
  over = true;
  for (std::thread& client : clients) client.join();
  std::printf("%d answered, %d not\n", answered.load(), unanswered.load());
  assert(answered > 0 && unanswered == 0);
}

// What is left as the end comes: a request that is not whole gets an answer, a client that reads none of its
// last answer's end keeps nothing alive.
void EndsWithUnfinishedRequests() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.WaitForLog("classes-updated");
  Connection half = node.Connect(), silent = node.Connect();
  half.Send(RequestText("1").substr(0, 60));
  node.SendSigterm();
  node.WaitForLog("draining");
  usleep(700'000);
  Connection late = node.Connect();
  late.Send(RequestText("2"));
  EndsWithin(node, 1'700);
  assert(Contains(half.ReadMessage(), " 503 ") && Contains(late.ReadMessage(), " 503 "));
}

// Settings with shorter deadlines come after SIGTERM: SIGKILL may come by them.
void EndsSoonerBySettings() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection up = host.Accept();
  up.ReadMessage();
  node.SendSigterm();
  node.WaitForLog("draining");
  node.Reload("settings", WithDeadline(node, 1'000'000));
  node.SendSighup();
  node.SendSigterm();
  EndsWithin(node, 1'700);
  assert(Contains(client.ReadMessage(), " 503 "));
  assert(Contains(node.Log(), "draining-already"));
}

// A process that was held up reads what has come meanwhile before it acts on times that have passed: an
// answer that waits to be read is no time-out.
void HeldUpReadsFirst() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1", "{}", "0.800"));
  Connection up = host.Accept();
  up.ReadMessage();
  node.Suspend();
  usleep(50'000);  // a process that has left its wait for sockets, and not one that is about to
  up.Send(kStreamHead);
  up.SendChunk("data: x\n\n");
  up.SendChunk("");
  usleep(1'000'000);
  node.Resume();
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: x"));
}

// Whether a process holds back a signal now, as /proc tells.
bool BlocksSignal(pid_t pid, int signal) {
  std::ifstream in("/proc/" + std::to_string(pid) + "/status");
  for (std::string line; std::getline(in, line);) {
    if (line.rfind("SigBlk:", 0) == 0)
      return (std::stoull(line.substr(7), nullptr, 16) >> (signal - 1) & 1) != 0;
  }
  return false;
}

// SIGHUP and SIGTERM come while the process still reads its configuration, which is large: neither ends it
// out of order.
void SignalsAtStart() {
  std::vector<nlohmann::json> many;
  for (int n = 0; n < 20'000; ++n) many.push_back(InstanceJson("s-" + std::to_string(n), "127.0.0.1:9"));
  char path[] = "/tmp/ryeglade-story-XXXXXX";
  const int fd = mkstemp(path);
  const std::string text =
      nlohmann::json{{"listen", "127.0.0.1:0"},
                     {"discovery", kNobody},
                     {"known", EndpointListJson(1, true, many)},
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

// The list that a node is given at its start may be old: it takes no client before discovery has told the
// rest.
void FirstListComesFirst(const char* mode) {
  const ScriptedServer discovery, gone, host;
  Connection watch;
  std::thread tells([&] {
    assert(discovery.HasConnectionWithin(kTimeoutMs));
    usleep(300'000);
    watch = AnswerWatch(discovery, EndpointListJson(2, true, {InstanceJson("s-b", host.address())}));
  });
  const Node node(program, ListOf(gone), discovery.address(), mode);
  tells.join();
  const std::string log = node.Log();
  assert(log.find("scope=full") < log.find("event=listening "));
  Connection client = node.Connect();
  ServeOne(host, client);
  assert(!gone.HasConnectionWithin(0));
}
void FirstListFirst() { FirstListComesFirst("ask"); }
// Where lists are pushed, what has changed counts as told from the new process's first moment on.
void FirstPushedListFirst() { FirstListComesFirst("push"); }

// Where lists are pushed the node opens a watch by itself, and opens it again when it ends.
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
  const std::map<std::string, std::function<void()>> all = {
      {"accept-fails", AcceptFails},
      {"accept-aborts", AcceptAborts},
      {"connect-fails-here", ConnectFailsHere},
      {"connect-fails-there", ConnectFailsThere},
      {"gone-behind-pipelined", GoneBehindPipelined},
      {"answers-pipelined", AnswersPipelinedAtTheEnd},
      {"ends-by-settings", EndsByTheSettings},
      {"ends-under-clients", EndsWhileClientsKeepComing},
      {"ends-unfinished", EndsWithUnfinishedRequests},
      {"ends-sooner", EndsSoonerBySettings},
      {"held-up", HeldUpReadsFirst},
      {"signals-at-start", SignalsAtStart},
      {"first-list-first", FirstListFirst},
      {"first-pushed-list-first", FirstPushedListFirst},
      {"pushed-lists", PushedLists}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 4 && all.contains(argv[3]));
  program = argv[1];
  fault_library_path = argv[2];
  all.at(argv[3])();
  std::printf("ok %s\n", argv[3]);
}
