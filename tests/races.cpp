// Two things that happen at the same instant around a node as a process: an end, a signal or a list that
// meets a request. Each is forced by scripted peers, held system calls or a stopped process, not by chance.
// `races PROGRAM LIBRARY NAME` plays one of them; docs/guarantees.md has the table.
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
const std::string kNobody = "127.0.0.1:9";  // discovery that the node never needs
const std::string kHealth = "GET /_health HTTP/1.1\r\nHost: node\r\n\r\n";

nlohmann::json ListOf(const ScriptedServer& host, int generation = 1) {
  return EndpointListJson(generation, true, {InstanceJson("s-a", host.address())});
}

// How a connection ends: 0 for an end in order, else the error of the read.
int EndOf(const Connection& connection) {
  char byte = 0;
  assert(connection.ReadableWithin(kTimeoutMs));
  const ssize_t n = recv(connection.fd(), &byte, 1, 0);
  assert(n <= 0);
  return n == 0 ? 0 : errno;
}

std::size_t Count(const std::string& text, const std::string& word) {
  std::size_t n = 0;
  for (std::size_t at = text.find(word); at != std::string::npos; at = text.find(word, at + 1)) ++n;
  return n;
}

// A request reaches a resting connection while the node, held up, ends it: the client sees an end in order
// and may send the request again. A close over unread bytes would reset the connection.
void RequestCrossesIdleClose() {
  const PreloadedFault hold("end:0:300");
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  ServeOne(host, client);
  node.SendSigterm();
  for (int waited_ms = 0; hold.affected_calls() == 0; ++waited_ms) {
    assert(waited_ms < kTimeoutMs);
    usleep(1'000);
  }
  client.Send(RequestText("2"));
  assert(EndOf(client) == 0);
  client.Close();
  assert(node.WaitForExit() == 0);
  assert(!host.HasConnectionWithin(0));  // and the request was not sent on
}

// The request of a resting connection and a new connection come in the same turn of a loop that has no
// descriptor to spare: the connection that has something to say is not the one that goes.
void RequestCrossesMakeRoom() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody, "push", 80);
  Connection oldest = node.Connect();
  oldest.Send(kHealth);
  assert(Contains(oldest.ReadMessage(), " 200 "));
  std::vector<Connection> resting;
  for (bool full = false; !full;) {  // until one more connection makes another go
    usleep(2'000);
    resting.push_back(node.Connect());
    resting.back().Send(kHealth);
    resting.back().ReadMessage();
    if (resting.size() > 1 && resting.front().ReadableWithin(0)) full = true;
    // `oldest` rests for less long than all others, until it is the one that has rested longest.
    if (!full) {
      oldest.Send(kHealth);
      oldest.ReadMessage();
    }
  }
  usleep(400'000);
  for (std::size_t i = 1; i < resting.size(); ++i) {
    if (resting[i].ReadableWithin(0)) continue;
    resting[i].Send(kHealth);
    resting[i].ReadMessage();
  }
  usleep(400'000);  // all have rested for long enough to go, `oldest` for longest
  node.Suspend();
  usleep(50'000);
  const Connection comes = node.Connect();
  usleep(50'000);
  oldest.Send(kHealth);
  usleep(50'000);
  node.Resume();
  assert(Contains(oldest.ReadMessage(), " 200 "));
}

// A node that was held up for longer than a replica keeps idle connections finds a request to send before it
// has ended its own: the request does not go out on a connection that the replica may have forgotten.
void HeldUpBeyondIdleClose() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody, "push", 1024, 192, "", false,
                  {{"settings", {{"limits", {{"idle-close", 1'000'000}}}}}});
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection up = host.Accept();
  up.ReadMessage();
  up.Send(kStreamHead);
  up.SendChunk("data: x\n\n");
  up.SendChunk("");
  client.ReadUntil("0\r\n\r\n");
  usleep(50'000);
  node.Suspend();
  client.Send(RequestText("2"));
  usleep(1'200'000);
  node.Resume();
  assert(Contains(host.Accept().ReadMessage(), "X-Call-Id: 2"));
}

// A replica is told no more time than the node itself will wait.
void BudgetIsTheWait() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1", "{}", "30.000"));
  Connection up = host.Accept();
  const std::string head = up.ReadMessage();
  const std::string name = "X-Budget: ";
  assert(Contains(head, name));
  assert(std::stod(head.substr(head.find(name) + name.size())) <= 29.985);
}

// Replicas that drop repeats know them by a header of the client's: every attempt has it, unchanged.
void ClientsFieldsPassOn() {
  const ScriptedServer host;
  const Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  std::string request = RequestText("1");
  request.insert(request.find("\r\n") + 2, "Idempotency-Key: a b=\"c\"\r\nConnection: X-Hop\r\nX-Hop: 1\r\n");
  client.Send(request);
  for (int attempt = 0; attempt < 2; ++attempt) {
    Connection up = host.Accept();
    const std::string head = up.ReadMessage();
    assert(Contains(head, "\r\nIdempotency-Key: a b=\"c\"\r\n"));
    assert(!Contains(head, "X-Hop") && !Contains(head, "X-Call-Class"));
    up.Close();
  }
}

Connection Watch(const ScriptedServer& discovery) {
  Connection watch = discovery.Accept();
  assert(Contains(watch.ReadMessage(), "follow=1"));
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch;
}

// A list on a watch may be indented over several lines, and come in pieces.
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

// The last lines of a watch that is being left come after the new address has given its whole list: what they
// say of replicas in use is older than that.
void OldWatchSpeaksAfterNewList() {
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
  Connection new_watch = Watch(after);  // says nothing yet
  old_watch.SendChunk(EndpointListJson(5, true, {InstanceJson("s-a", old_host.address())}).dump() + "\n" +
                      EndpointListJson(6, false, {InstanceJson("s-c", third.address(), "leaving")}).dump() +
                      "\n");
  node.WaitForLog("scope=delta");
  Connection client = node.Connect();
  ServeOne(host, client);
  assert(!old_host.HasConnectionWithin(0) && !third.HasConnectionWithin(0));
}

// SIGHUP names another discovery while the node waits, longer after each failure, to ask the old one again:
// the new one is asked at once.
void MoveDuringBackOff() {
  const ScriptedServer host, after;
  Node node(program, ListOf(host), kNobody, "ask");
  while (Count(node.Log(), "discovery-failed") < 6) usleep(5'000);
  node.Reload("discovery",
              after.address());  // the next call of its own would come a second later at the soonest
  assert(after.HasConnectionWithin(800));
}

// Two SIGTERMs and a SIGHUP in between: a stream that runs is passed on to its end, and the end comes no
// later.
void SignalsInARow() {
  const ScriptedServer host;
  Node node(program, ListOf(host), kNobody);
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  Connection up = host.Accept();
  up.ReadMessage();
  up.Send(kStreamHead);
  up.SendChunk("data: x\n\n");
  client.ReadUntil("data: x");
  node.SendSigterm();
  node.WaitForLog("draining");
  node.SendSighup();
  node.WaitForLog("reloaded");
  node.SendSigterm();
  node.WaitForLog("draining-already");
  up.SendChunk("data: y\n\n");
  up.SendChunk("");
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: y"));
  assert(node.WaitForExit() == 0);
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  using namespace scripted;
  const std::map<std::string, std::function<void()>> all = {
      {"idle-close", RequestCrossesIdleClose},   {"make-room", RequestCrossesMakeRoom},
      {"held-up-idle", HeldUpBeyondIdleClose},   {"budget", BudgetIsTheWait},
      {"clients-fields", ClientsFieldsPassOn},   {"indented-lists", IndentedLists},
      {"old-watch", OldWatchSpeaksAfterNewList}, {"move-in-back-off", MoveDuringBackOff},
      {"signals-in-a-row", SignalsInARow}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 4 && all.contains(argv[3]));
  program = argv[1];
  fault_library_path = argv[2];
  all.at(argv[3])();
  std::printf("ok %s\n", argv[3]);
}
