// Scenarios in which two events coincide at a node, which runs as a process: a close, a signal or an endpoint
// list together with a request. Scripted peers, delayed system calls or a stopped process force the order of
// the events, so that no result depends on chance. `races PROGRAM LIBRARY NAME` runs one of them, with
// fault_library as LIBRARY; docs/guarantees.md has a table of them.
#include <cerrno>
#include <chrono>
#include <functional>
#include <map>
#include <set>

#include "preloaded.h"
#include "scripted_peers.h"

namespace scripted {
namespace {

std::string program;
// An address at which nothing listens, for nodes that need no discovery.
const std::string kNoDiscovery = "127.0.0.1:9";
const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: node\r\n\r\n";

// A full endpoint list with `host` as the ready replica s-a.
nlohmann::json ListOf(const ScriptedServer& host, int generation = 1) {
  return EndpointListJson(generation, true, {InstanceJson("s-a", host.address())});
}

// Waits for the end of a connection. Returns 0 if the peer closed it without a reset, otherwise the errno of
// the read.
int WaitForClose(const Connection& connection) {
  char byte = 0;
  assert(connection.ReadableWithin(kTimeoutMs));
  const ssize_t n = recv(connection.fd(), &byte, 1, 0);
  assert(n <= 0);
  return n == 0 ? 0 : errno;
}

std::size_t CountOccurrences(const std::string& text, const std::string& word) {
  std::size_t n = 0;
  for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) ++n;
  return n;
}

// A request arrives on an idle connection while the node is closing it (the preloaded library delays the
// close): the client sees an orderly close and may send the request again. A close with unread bytes would
// reset the connection.
void RequestDuringIdleClose() {
  const PreloadedFault slow_close("end:0:300");
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  ServeOne(host, client);
  node.SendSigterm();
  for (int waited_ms = 0; slow_close.affected_calls() == 0; ++waited_ms) {
    assert(waited_ms < kTimeoutMs);
    usleep(1'000);
  }
  client.Send(RequestText("2"));
  assert(WaitForClose(client) == 0);
  client.Close();
  assert(node.WaitForExit() == 0);
  assert(!host.HasConnectionWithin(0));  // the request was not sent upstream
}

// A request on an idle connection and a new connection arrive in the same iteration of an event loop that has
// no free descriptor: the connection with the request is not the one that the node closes to make room.
void RequestWhileMakingRoom() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery, "push", 80);
  Connection oldest = node.Connect();
  oldest.Send(kHealth);
  assert(Contains(oldest.ReadMessage(), " 200 "));
  std::vector<Connection> idle;
  for (bool full = false; !full;) {  // until a new connection makes the node close another
    usleep(2'000);
    idle.push_back(node.Connect());
    idle.back().Send(kHealth);
    idle.back().ReadMessage();
    if (idle.size() > 1 && idle.front().ReadableWithin(0)) full = true;
    // Keeps `oldest` the most recently used connection for now.
    if (!full) {
      oldest.Send(kHealth);
      oldest.ReadMessage();
    }
  }
  usleep(400'000);
  for (std::size_t i = 1; i < idle.size(); ++i) {
    if (idle[i].ReadableWithin(0)) continue;
    idle[i].Send(kHealth);
    idle[i].ReadMessage();
  }
  usleep(400'000);  // all have been idle for long enough to be closed, `oldest` for longest
  node.Suspend();
  usleep(50'000);
  const Connection new_connection = node.Connect();
  usleep(50'000);
  oldest.Send(kHealth);
  usleep(50'000);
  node.Resume();
  assert(Contains(oldest.ReadMessage(), " 200 "));
}

// A node that was suspended for longer than the idle time-out of upstream connections has a request to send
// before it has closed them: the request must not go out on a connection that the replica may have closed
// already.
void SuspendedBeyondIdleClose() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery, "push", 1024, 192, "", false,
                  {{"settings", {{"limits", {{"idle-close", 1'000'000}}}}}});
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: x\n\n");
  upstream.EndStream();
  client.ReadUntil("0\r\n\r\n");
  usleep(50'000);
  node.Suspend();
  client.Send(RequestText("2"));
  usleep(1'200'000);
  node.Resume();
  assert(Contains(host.Accept().ReadMessage(), "X-Call-Id: 2"));
}

// The time budget sent upstream is not longer than the node itself waits.
void BudgetWithinOwnWait() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1", "{}", "30.000"));
  Connection upstream = host.Accept();
  const std::string head = upstream.ReadMessage();
  const std::string name = "X-Budget: ";
  assert(Contains(head, name));
  assert(std::stod(head.substr(head.find(name) + name.size())) <= 29.985);
}

// Replicas recognise duplicate requests by a header that the client sends: every attempt carries it
// unchanged.
void ClientHeadersReachEveryAttempt() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  std::string request = RequestText("1");
  request.insert(request.find("\r\n") + 2, "Idempotency-Key: a b=\"c\"\r\nConnection: X-Hop\r\nX-Hop: 1\r\n");
  client.Send(request);
  for (int attempt = 0; attempt < 2; ++attempt) {
    Connection upstream = host.Accept();
    const std::string head = upstream.ReadMessage();
    assert(Contains(head, "\r\nIdempotency-Key: a b=\"c\"\r\n"));
    assert(!Contains(head, "X-Hop") && !Contains(head, "X-Call-Class"));
    upstream.Close();
  }
}

// Accepts a watch request and sends the head of the response, but no list.
Connection AcceptWatch(const ScriptedServer& discovery) {
  Connection watch = discovery.Accept();
  assert(Contains(watch.ReadMessage(), "follow=1"));
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch;
}

// An endpoint list on a watch may be indented over several lines and arrive in pieces.
void IndentedLists() {
  const ScriptedServer discovery, before, after;
  std::future<Connection> first_watch = AnswerWatchAtStart(discovery, EndpointListJson(2, false, {}));
  const Node node(program, ListOf(before), discovery.address());
  Connection watch = first_watch.get();
  const std::string list =
      EndpointListJson(
          3, false, {InstanceJson("s-a", before.address(), "leaving"), InstanceJson("s-b", after.address())})
          .dump(2) +
      "\n";
  watch.SendChunk(list.substr(0, list.size() / 2));
  watch.SendChunk(list.substr(list.size() / 2));
  node.WaitForLog("generation=3");
  assert(!Contains(node.Log(), "discovery-failed"));
  Connection client = node.Connect();
  ServeOne(after, client);
  assert(!before.HasConnectionWithin(0));
}

// After a reload has changed the discovery address, the old watch delivers its last lines after the new
// address has sent its full list: those lines are outdated and must not be applied.
void OldWatchDeliversAfterNewList() {
  const ScriptedServer before, after, old_host, host, third;
  std::future<Connection> first_watch = AnswerWatchAtStart(before, EndpointListJson(1, false, {}));
  Node node(program,
            EndpointListJson(1, true,
                             {InstanceJson("s-a", old_host.address()), InstanceJson("s-c", third.address())}),
            before.address(), "ask");
  Connection old_watch = first_watch.get();
  node.Reload("discovery", after.address());
  Connection fetch = after.Accept();
  fetch.ReadMessage();
  const std::string list =
      EndpointListJson(7, true,
                       {InstanceJson("s-a", old_host.address(), "leaving"),
                        InstanceJson("s-b", host.address()), InstanceJson("s-c", third.address())})
          .dump();
  fetch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  Connection new_watch = AcceptWatch(after);  // sends no list yet
  old_watch.SendChunk(EndpointListJson(5, true, {InstanceJson("s-a", old_host.address())}).dump() + "\n" +
                      EndpointListJson(6, false, {InstanceJson("s-c", third.address(), "leaving")}).dump() +
                      "\n");
  node.WaitForLog("scope=delta");
  Connection client = node.Connect();
  ServeOne(host, client);
  assert(!old_host.HasConnectionWithin(0) && !third.HasConnectionWithin(0));
}

// SIGHUP changes the discovery address while the node is in the back-off of failed calls to the old one: it
// calls the new one at once.
void DiscoveryChangesDuringBackOff() {
  const ScriptedServer host, after;
  Node node(program, ListOf(host), kNoDiscovery, "ask");
  while (CountOccurrences(node.Log(), "discovery-failed") < 6) usleep(5'000);
  node.Reload("discovery", after.address());
  // With the back-off the next call would follow a second later at the earliest.
  assert(after.HasConnectionWithin(800));
}

// SIGTERM, SIGHUP and again SIGTERM: the open stream is passed on to its end, and the signals after the first
// do not postpone the exit.
void SignalsInARow() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNoDiscovery);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: x\n\n");
  client.ReadUntil("data: x");
  node.SendSigterm();
  node.WaitForLog("draining");
  node.SendSighup();
  node.WaitForLog("reloaded");
  node.SendSigterm();
  node.WaitForLog("draining-already");
  upstream.SendChunk("data: y\n\n");
  upstream.EndStream();
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: y"));
  assert(node.WaitForExit() == 0);
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  using namespace scripted;
  const std::map<std::string, std::function<void()>> scenarios = {
      {"idle-close", RequestDuringIdleClose},
      {"make-room", RequestWhileMakingRoom},
      {"suspended-beyond-idle-close", SuspendedBeyondIdleClose},
      {"budget", BudgetWithinOwnWait},
      {"client-headers", ClientHeadersReachEveryAttempt},
      {"indented-lists", IndentedLists},
      {"old-watch", OldWatchDeliversAfterNewList},
      {"discovery-changes-in-back-off", DiscoveryChangesDuringBackOff},
      {"signals-in-a-row", SignalsInARow}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 4 && scenarios.contains(argv[3]));
  program = argv[1];
  fault_library_path = argv[2];
  scenarios.at(argv[3])();
  std::printf("ok %s\n", argv[3]);
}
