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

nlohmann::json ListOf(const Peer& host, int generation = 1) {
  return List(generation, true, {Instance("s-a", host.at())});
}

// How a connection ends: 0 for an end in order, else the error of the read.
int EndOf(const Conn& connection) {
  char byte = 0;
  assert(connection.Readable(kTimeoutMs));
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
  const Preloaded hold("end:0:300");
  const Peer host;
  Node node(program, ListOf(host), kNobody);
  Conn client = node.Client();
  ServeOne(host, client);
  node.Term();
  for (int waited_ms = 0; hold.failures() == 0; ++waited_ms) {
    assert(waited_ms < kTimeoutMs);
    usleep(1'000);
  }
  client.Send(Ask("2"));
  assert(EndOf(client) == 0);
  client.Close();
  assert(node.Exit() == 0);
  assert(!host.Called(0));  // and the request was not sent on
}

// The request of a resting connection and a new connection come in the same turn of a loop that has no
// descriptor to spare: the connection that has something to say is not the one that goes.
void RequestCrossesMakeRoom() {
  const Peer host;
  const Node node(program, ListOf(host), kNobody, "push", 80);
  Conn oldest = node.Client();
  oldest.Send(kHealth);
  assert(Has(oldest.Message(), " 200 "));
  std::vector<Conn> resting;
  for (bool full = false; !full;) {  // until one more connection makes another go
    usleep(2'000);
    resting.push_back(node.Client());
    resting.back().Send(kHealth);
    resting.back().Message();
    if (resting.size() > 1 && resting.front().Readable(0)) full = true;
    // `oldest` rests for less long than all others, until it is the one that has rested longest.
    if (!full) {
      oldest.Send(kHealth);
      oldest.Message();
    }
  }
  usleep(400'000);
  for (std::size_t i = 1; i < resting.size(); ++i) {
    if (resting[i].Readable(0)) continue;
    resting[i].Send(kHealth);
    resting[i].Message();
  }
  usleep(400'000);  // all have rested for long enough to go, `oldest` for longest
  node.Stop();
  usleep(50'000);
  const Conn comes = node.Client();
  usleep(50'000);
  oldest.Send(kHealth);
  usleep(50'000);
  node.Continue();
  assert(Has(oldest.Message(), " 200 "));
}

// A node that was held up for longer than a replica keeps idle connections finds a request to send before it
// has ended its own: the request does not go out on a connection that the replica may have forgotten.
void HeldUpBeyondIdleClose() {
  const Peer host;
  const Node node(program, ListOf(host), kNobody, "push", 1024, 192, "", false,
                  {{"settings", {{"limits", {{"idle-close", 1'000'000}}}}}});
  Conn client = node.Client();
  client.Send(Ask("1"));
  Conn up = host.Accept();
  up.Message();
  up.Send(kStream);
  up.Chunk("data: x\n\n");
  up.Chunk("");
  client.Until("0\r\n\r\n");
  usleep(50'000);
  node.Stop();
  client.Send(Ask("2"));
  usleep(1'200'000);
  node.Continue();
  assert(Has(host.Accept().Message(), "X-Call-Id: 2"));
}

// A replica is told no more time than the node itself will wait.
void BudgetIsTheWait() {
  const Peer host;
  const Node node(program, ListOf(host), kNobody);
  Conn client = node.Client();
  client.Send(Ask("1", "{}", "30.000"));
  Conn up = host.Accept();
  const std::string head = up.Message();
  const std::string name = "X-Budget: ";
  assert(Has(head, name));
  assert(std::stod(head.substr(head.find(name) + name.size())) <= 29.985);
}

// Replicas that drop repeats know them by a header of the client's: every attempt has it, unchanged.
void ClientsFieldsPassOn() {
  const Peer host;
  const Node node(program, ListOf(host), kNobody);
  Conn client = node.Client();
  std::string request = Ask("1");
  request.insert(request.find("\r\n") + 2, "Idempotency-Key: a b=\"c\"\r\nConnection: X-Hop\r\nX-Hop: 1\r\n");
  client.Send(request);
  for (int attempt = 0; attempt < 2; ++attempt) {
    Conn up = host.Accept();
    const std::string head = up.Message();
    assert(Has(head, "\r\nIdempotency-Key: a b=\"c\"\r\n"));
    assert(!Has(head, "X-Hop") && !Has(head, "X-Call-Class"));
    up.Close();
  }
}

Conn Watch(const Peer& discovery) {
  Conn watch = discovery.Accept();
  assert(Has(watch.Message(), "follow=1"));
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch;
}

// A list on a watch may be indented over several lines, and come in pieces.
void IndentedLists() {
  const Peer discovery, before, after;
  std::future<Conn> first_watch = AnswerWatchAtStart(discovery, List(2, false, {}));
  const Node node(program, ListOf(before), discovery.at());
  Conn watch = first_watch.get();
  const std::string list =
      List(3, false, {Instance("s-a", before.at(), "leaving"), Instance("s-b", after.at())}).dump(2) + "\n";
  watch.Chunk(list.substr(0, list.size() / 2));
  watch.Chunk(list.substr(list.size() / 2));
  node.WaitLog("generation=3");
  assert(!Has(node.Log(), "discovery-failed"));
  Conn client = node.Client();
  ServeOne(after, client);
  assert(!before.Called(0));
}

// The last lines of a watch that is being left come after the new address has given its whole list: what they
// say of replicas in use is older than that.
void OldWatchSpeaksAfterNewList() {
  const Peer before, after, old_host, host, third;
  std::future<Conn> first_watch = AnswerWatchAtStart(before, List(1, false, {}));
  Node node(program, List(1, true, {Instance("s-a", old_host.at()), Instance("s-c", third.at())}),
            before.at(), "ask");
  Conn old_watch = first_watch.get();
  node.Reload("discovery", after.at());
  Conn fetch = after.Accept();
  fetch.Message();
  const std::string list = List(7, true,
                                {Instance("s-a", old_host.at(), "leaving"), Instance("s-b", host.at()),
                                 Instance("s-c", third.at())})
                               .dump();
  fetch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  Conn new_watch = Watch(after);  // says nothing yet
  old_watch.Chunk(List(5, true, {Instance("s-a", old_host.at())}).dump() + "\n" +
                  List(6, false, {Instance("s-c", third.at(), "leaving")}).dump() + "\n");
  node.WaitLog("scope=delta");
  Conn client = node.Client();
  ServeOne(host, client);
  assert(!old_host.Called(0) && !third.Called(0));
}

// SIGHUP names another discovery while the node waits, longer after each failure, to ask the old one again:
// the new one is asked at once.
void MoveDuringBackOff() {
  const Peer host, after;
  Node node(program, ListOf(host), kNobody, "ask");
  while (Count(node.Log(), "discovery-failed") < 6) usleep(5'000);
  node.Reload("discovery", after.at());  // the next call of its own would come a second later at the soonest
  assert(after.Called(800));
}

// Two SIGTERMs and a SIGHUP in between: a stream that runs is passed on to its end, and the end comes no
// later.
void SignalsInARow() {
  const Peer host;
  Node node(program, ListOf(host), kNobody);
  Conn client = node.Client();
  client.Send(Ask("1"));
  Conn up = host.Accept();
  up.Message();
  up.Send(kStream);
  up.Chunk("data: x\n\n");
  client.Until("data: x");
  node.Term();
  node.WaitLog("draining");
  node.Hup();
  node.WaitLog("reloaded");
  node.Term();
  node.WaitLog("draining-already");
  up.Chunk("data: y\n\n");
  up.Chunk("");
  assert(Has(client.Until("0\r\n\r\n"), "data: y"));
  assert(node.Exit() == 0);
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
  library = argv[2];
  all.at(argv[3])();
  std::printf("ok %s\n", argv[3]);
}
