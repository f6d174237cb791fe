// The node between scripted peers, one scenario for each failure met or expected. `request_lifecycle PROGRAM
// NAME` plays one of them.
#include <cstring>
#include <future>
#include <map>

#include "base/buffer_pool.h"
#include "base/slot_table.h"
#include "scripted_peers.h"

namespace scripted {
namespace {

std::string program;
const std::string kNobody = "127.0.0.1:9";  // discovery that the node never needs

struct One {  // a node with one upstream host
  ScriptedServer host;
  Node node{program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kNobody};
};

// Events pass unchanged, each as it comes; the last chunk only after the host's own; both connections go on.
void Calm() {
  One w;
  Connection client = w.node.Connect(), host;
  for (const std::string id : {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"}) {
    usleep(50'000);  // a connection just parked is left alone for a moment
    client.Send(RequestText(id, "{\"a\":1}"));
    if (host.fd() < 0) host = w.host.Accept();
    std::string body;
    const std::string head = host.ReadMessage(&body);
    assert(head.rfind("POST /v1/chat/completions?x=1 HTTP/1.1\r\n", 0) == 0);
    assert(Contains(head, "X-Call-Id: " + id + "\r\n") && Contains(head, "X-Budget: ") &&
           body == "{\"a\":1}");
    host.Send(kStreamHead);
    for (const std::string event : {"data: {\"a\"}\n\n", "data: b\r\n\r\n", "data: [DONE]\n\n"}) {
      host.SendChunk(event);
      assert(Contains(client.ReadUntil(event), "\r\n"));  // before the next is sent
    }
    assert(client.ReadBytes(2) == "\r\n" && !client.ReadableWithin(100));
    host.SendChunk("");
    assert(client.ReadBytes(5) == "0\r\n\r\n");
  }
  assert(!w.host.HasConnectionWithin(0));
}

// A stream that has passed on its first event.
Connection Begin(const One& w, Connection& client, const std::string& id = "1") {
  client.Send(RequestText(id));
  Connection host = w.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  host.SendChunk("data: x\n\n");
  client.ReadUntil("data: x\n\n");
  return host;
}

// A stream that breaks ends the client's connection without the last chunk.
void Broken() {
  One w;
  Connection client = w.node.Connect();
  Connection host = Begin(w, client);
  host.Close();
  assert(client.ReadToEnd() == "\r\n");
}

// So does one whose host says nothing more: its connection stays open, so only the node's own limit tells.
void Silent() {
  One w;
  Connection client = w.node.Connect();
  Connection host = Begin(w, client);
  assert(client.ReadToEnd() == "\r\n");
  assert(host.ReadToEnd().empty());  // and is given up on upstream
}

// What a host turns away, or fails with, goes elsewhere, with one attempt out at a time.
void Elsewhere() {
  for (const std::string& answer :
       std::vector<std::string>{"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", "",
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nTransfer-Enc", "HTTP/1.1 101 Other\r\n\r\n",
                                kStreamHead + "5\r\nnoise\r\n", kStreamHead + "9\r\ndata: x\n\nbut more",
                                kStreamHead + "zz\r\n", kStreamHead + "B2D05E00\r\ndata: x\n\n"}) {
    ScriptedServer a, b;
    Node node(program,
              EndpointListJson(1, true, {InstanceJson("s-a", a.address()), InstanceJson("s-b", b.address())}),
              kNobody);
    Connection client = node.Connect();
    client.Send(RequestText("1", std::string(200'000, 'p')));
    while (!a.HasConnectionWithin(5) && !b.HasConnectionWithin(5)) {
    }
    ScriptedServer& first = a.HasConnectionWithin(0) ? a : b;
    ScriptedServer& second = a.HasConnectionWithin(0) ? b : a;
    Connection one = first.Accept();
    one.ReadMessage();
    assert(!second.HasConnectionWithin(50));
    answer.empty() ? one.Close() : one.Send(answer);
    Connection two = second.Accept();
    std::string body;
    two.ReadMessage(&body);
    assert(body == std::string(200'000, 'p'));
    two.Send(kStreamHead);
    two.SendChunk("data: y\n\n");
    two.SendChunk("");
    assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: y"));
  }
}

// What is spoilt after the first event ends the client's connection without the last chunk, and is not passed
// on.
void Spoilt() {
  for (const std::string& rest : std::vector<std::string>{"9\r\ndata: y\n\nXX9\r\ndata: y\n\n\r\n0\r\n\r\n",
                                                          "zz\r\ndata: y\n\n", "B2D05E00\r\ndata: y\n\n"}) {
    One w;
    Connection client = w.node.Connect();
    Connection host = Begin(w, client);
    host.Send(rest);
    assert(client.ReadToEnd() == "\r\n");
  }
}

// More than belongs to an answer: 1xx ahead leave nothing behind and do not start its time, and a second
// answer right behind is never taken for the next request's, not even if both arrive in one turn of the loop.
void Surplus() {
  One w;
  Connection client = w.node.Connect();
  client.Send(RequestText("1"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  host.Send("HTTP/1.1 103 Early\r\nX-Rejected: 1\r\nX-Empty:\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
  usleep(1'200'000);  // the answer itself has its full time
  host.Send("HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n");
  w.node.WaitForLog("outcome=error");  // not one that never ran
  usleep(50'000);
  if (!host.ReadableWithin(2'000)) host = w.host.Accept();
  host.ReadMessage();
  const std::string answer = kStreamHead + "9\r\ndata: a\n\n\r\n0\r\n\r\n";
  host.Send(answer);
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: a"));
  usleep(50'000);
  w.node.Suspend();
  client.Send(RequestText("2"));
  usleep(20'000);
  host.Send(kStreamHead + "9\r\ndata: 9\n\n\r\n0\r\n\r\n");
  w.node.Resume();
  Connection other = w.host.Accept();
  other.ReadMessage();
  other.Send(answer);
  assert(!Contains(client.ReadUntil("0\r\n\r\n"), "data: 9"));
}

// Nobody listens: a refused connection proves the request never ran, and the module refuses it at once.
void Refused() {
  One w;
  w.host.StopListening();
  Connection client = w.node.Connect();
  client.Send(RequestText("1", "{}", "3.0"));
  const std::string head = client.ReadMessage();
  assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
}

// A host that says nothing: the answer comes before the budget ends, and the attempt is given up.
void Timeout() {
  One w;
  Connection client = w.node.Connect();
  client.Send(RequestText("1", "{}", "0.800"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  const std::string head = client.ReadMessage();
  assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
  assert(host.ReadToEnd().empty());
  assert(!w.host.HasConnectionWithin(50) &&
         !Contains(w.node.Log(), "watchdog-reply"));  // no hopeless attempt after it
  client.Send(RequestText("2", "{}", "0"));           // no time at all
  assert(Contains(client.ReadMessage(), " 503 "));
}

// One local reply each, and the node goes on.
void BadInput() {
  One w;
  const auto with = [](const std::string& from, const std::string& to) {
    std::string text = RequestText("ab");
    return text.replace(text.find(from), from.size(), to);
  };
  const std::vector<std::pair<std::string, std::string>> cases = {
      {"nonsense\r\n\r\n", " 400 "},
      {with("X-Call-Id: ab", "X-Call-Id: no hex"), " 400 "},
      {with("X-Call-Id: ab\r\n", ""), " 400 "},
      {with("docs", "unheard"), " 400 "},
      {with("30.000", "-1"), " 400 "},
      {with("30.000", "nan"), " 400 "},
      {with("prompt_len=512", "prompt_len=x"), " 400 "},
      {with("prompt_len=512", "prompt_len=inf"), " 400 "},
      {with("X-Budget: 30.000", "X-Budget: 30.000\r\nx-budget: 9"), " 400 "},
      {with("X-Call-Id: ab", "X-Call-Id: ab\r\nX-Call-Id: ac"), " 400 "},
      {with("Content-Length: 15", "Transfer-Encoding: chunked\r\nContent-Length: 15"), " 400 "},
      {with("Content-Length: 15", "Content-Length: 15\r\nContent-Length: 15"), " 400 "},
      {with("Content-Length: 15", "Content-Length: 15\r\nTransfer-Encoding: identity"), " 400 "},
      {with("Content-Length: 15", "Transfer-Encoding: gzip"), " 400 "},
      {with("Content-Length: 15", "Content-Length: +15"), " 400 "},
      {with("Content-Length: 15", "Content-Length: 1 5"), " 400 "},
      {with("Content-Length: 15", "Content-Length: 99999999999999999999"), " 400 "},
      {with("Content-Length: 15", "Content-Length: 15\r\nTransfer-Encoding: chunked"), " 400 "},
      {with("Content-Length: 15", "Content-Length: -4"), " 400 "},
      {with("/v1/chat", "/v9/chat"), " 404 "},
      {with("POST", "PUT"), " 405 "},
      {"CONNECT a:1 HTTP/1.1\r\n\r\n", " 405 "},
      {with("Content-Length: 15", "Content-Length: 300000"), " 413 "},
      {with("Host: service", "Host: " + std::string(40'000, 'h')), " 431 "},
      {with("HTTP/1.1", "HTTP/1.0"), " 505 "},
  };
  for (const auto& [text, status] : cases) {
    Connection client = w.node.Connect();
    client.Send(text);
    const std::string head = client.ReadMessage();
    if (!Contains(head, status))
      std::fprintf(stderr, "%s\n-> %s\n", text.substr(0, 80).c_str(), head.c_str());
    assert(Contains(head, status));
    shutdown(client.fd(), SHUT_WR);
    assert(!Contains(client.ReadToEnd(), "HTTP/1.1"));
  }
  Connection client = w.node.Connect();
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 5; ++i) client.SendChunk(std::string(60'000, 'x'));
  assert(Contains(client.ReadMessage(), " 413 "));
  Connection well = w.node.Connect();
  well.Send("GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");  // two at once, in turn
  for (int i = 0; i < 2; ++i) assert(Contains(well.ReadMessage(), " 200 "));
}

// A second request under an id that is still open would be a second copy upstream.
void Duplicate() {
  One w;
  Connection first = w.node.Connect(), second = w.node.Connect();
  first.Send(RequestText("77"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  second.Send(RequestText("77"));
  assert(Contains(second.ReadMessage(), " 409 "));
  assert(!w.host.HasConnectionWithin(50));
}

// A client that leaves takes its upstream request along, before the first event and after.
void Leaves() {
  One w;
  Connection waiting = w.node.Connect();
  waiting.Send(RequestText("1"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  waiting.Close();
  host.ReadToEnd();
  Connection running = w.node.Connect();
  host = Begin(w, running, "2");
  running.Close();
  for (int i = 0; !host.ReadableWithin(50); ++i) {  // it speaks on, so that no silence ends it
    assert(i < 400);
    host.SendChunk("data: y\n\n");
  }
}

// After SIGTERM: health says no, new requests are served and their connections closed, what runs is finished,
// and only then the node ends, with 0.
void Terminates() {
  One w;
  Connection running = w.node.Connect(), kept = w.node.Connect();
  kept.Send("GET /_health HTTP/1.1\r\n\r\n");
  assert(Contains(kept.ReadMessage(), " 200 "));
  running.Send(RequestText("1"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  host.SendChunk("data: a\n\n");
  running.ReadUntil("data: a\n\n\r\n");
  w.node.SendSigterm();
  w.node.WaitForLog("draining");
  kept.Send("GET /_health HTTP/1.1\r\n\r\n");
  const std::string health = kept.ReadMessage();
  assert(Contains(health, " 503 ") && Contains(health, "Connection: close"));
  Connection late = w.node.Connect();
  late.Send(RequestText("2"));
  Connection other = w.host.Accept();
  other.ReadMessage();
  other.Send(kStreamHead);
  other.SendChunk("data: b\n\n");
  other.SendChunk("");
  const std::string answer = late.ReadUntil("0\r\n\r\n");
  assert(Contains(answer, "Connection: close") && Contains(answer, "data: b"));
  usleep(1'500'000);  // past the time it would have ended at, had nothing been open
  host.SendChunk("data: c\n\n");
  host.SendChunk("");
  assert(Contains(running.ReadUntil("0\r\n\r\n"), "data: c"));
  assert(w.node.WaitForExit() == 0);

  One slow;  // what has not begun is answered before SIGKILL may come, however long its client would wait
  Connection patient = slow.node.Connect();
  patient.Send(RequestText("3", "{}", "90.000"));
  slow.host.Accept().ReadMessage();
  slow.node.SendSigterm();
  assert(Contains(patient.ReadMessage(), " 503 "));
  assert(slow.node.WaitForExit() == 0);

  ScriptedServer
      host_of_moved;  // where clients ask for the rest elsewhere, a stream that runs on is handed over
  Node moved(program, EndpointListJson(1, true, {InstanceJson("s-a", host_of_moved.address())}), kNobody,
             "push", 1024, 192, "", true);
  Connection follower = moved.Connect();
  follower.Send(RequestText("4"));
  Connection running_on = host_of_moved.Accept();
  running_on.ReadMessage();
  running_on.Send(kStreamHead);
  running_on.SendChunk("data: a\n\n");
  follower.ReadUntil("data: a\n\n\r\n");
  moved.SendSigterm();
  int said = 0;  // it speaks on, so that no silence ends it
  for (; said < 200 && !running_on.ReadableWithin(50); ++said) running_on.SendChunk("data: b\n\n");
  assert(said < 200 && !Contains(follower.ReadToEnd(), "\r\n0\r\n"));
  assert(moved.WaitForExit() == 0);

  One idle;  // with nothing to finish it serves on for a while all the same
  idle.node.SendSigterm();
  assert(idle.node.WaitForExit() == 0);
  const std::string log = idle.node.Log();
  const auto at = [&](const char* word) {
    return std::stoll(log.substr(log.rfind("ts=", log.find(word)) + 3));
  };
  assert(at("event=stopped") - at("event=draining") >= 700);
}

Connection Watched(const ScriptedServer& discovery, const std::string& since) {
  Connection watch = discovery.Accept();
  assert(Contains(watch.ReadMessage(), "GET /catalog/members?follow=1&since=" + since + " "));
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch;
}

// The watch that a node opens while it starts, in a thread, as the node takes no client before it has told.
std::future<Connection> WatchedAtStart(const ScriptedServer& discovery, const std::string& since) {
  return std::async(std::launch::async, [&discovery, since] {
    Connection watch = Watched(discovery, since);
    watch.SendChunk(EndpointListJson(std::stoi(since), false, {}).dump() + "\n");
    return watch;
  });
}

void Serves(const Node& node, const ScriptedServer& host, const std::string& id) {
  Connection client = node.Connect();
  client.Send(RequestText(id));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: z\n\n");
  upstream.SendChunk("");
  client.ReadUntil("0\r\n\r\n");
}

// The list: served from `known` while discovery is down, then changes, a moved address, a drain, a new start.
void ListChanges() {
  ScriptedServer discovery, a, b, c;
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), discovery.address(),
            "ask");
  discovery.Accept().Close();  // down: the module asks again by itself
  Serves(node, a, "1");
  Connection watch = Watched(discovery, "4");
  const auto tell = [&](const nlohmann::json& list, const std::string& logged) {
    const std::string line = list.dump() + "\n";
    watch.SendChunk(line.substr(0, 9));  // a line may come in pieces
    watch.SendChunk(line.substr(9));
    node.WaitForLog(logged);
  };
  tell(EndpointListJson(5, false,
                        {InstanceJson("s-a", a.address(), "left"), InstanceJson("s-b", b.address())}),
       "generation=5");
  Serves(node, b, "2");
  tell(EndpointListJson(6, false, {InstanceJson("s-b", c.address())}), "generation=6");
  Serves(node, c, "3");
  assert(!b.HasConnectionWithin(0));
  tell(EndpointListJson(
           7, true,
           {InstanceJson("s-b", c.address(), "leaving"), InstanceJson("s-d", a.address()), {{"odd", 1}}}),
       "generation=7");
  Serves(node, a, "4");
  watch.Close();
  Connection again = Watched(discovery, "7");
  again.SendChunk("not json\n");
  node.WaitForLog("why=malformed");
  Serves(node, a, "5");
}

// SIGHUP: a bad file changes nothing; a good one moves the watch, whatever the variable says, from a whole
// list, and the old watch is kept until the new one tells. SIGTERM still ends the node with 0.
void Reloads() {
  ScriptedServer before, after, a, b;
  std::future<Connection> first = WatchedAtStart(before, "4");
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), kNobody, "ask", 1024, 192,
            before.address());
  Connection watch = first.get();
  node.WriteConfig("{");
  node.SendSighup();
  node.WaitForLog("reload-failed");
  Serves(node, a, "1");
  node.Reload("listen", "127.0.0.1:1");
  node.WaitForLog("reload-needs-restart what=listen");
  node.Reload("discovery", after.address());
  after.Accept().Close();  // not up yet: it is asked again, and the old one heard meanwhile
  Connection fetch = after.Accept();
  assert(Contains(fetch.ReadMessage(), "GET /catalog/members "));
  watch.SendChunk(
      EndpointListJson(5, false, {InstanceJson("s-b", b.address()), InstanceJson("s-a", a.address(), "left")})
          .dump() +
      "\n");
  node.WaitForLog("generation=5");
  Serves(node, b, "2");
  assert(!watch.ReadableWithin(50));
  const std::string list = EndpointListJson(2, true, {InstanceJson("s-a", a.address())}).dump();
  fetch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  Connection moved = Watched(after, "2");
  assert(!watch.ReadableWithin(50));
  moved.SendChunk("\n");
  watch.ReadToEnd();
  Serves(node, a, "3");
  moved.Close();
  Watched(after, "2");  // and it is the new address that is asked again
  node.SendSigterm();
  assert(node.WaitForExit() == 0);
}

// A watch that is cut off without a word is noticed and asked for anew well before changes count as told.
void SilentWatch() {
  ScriptedServer discovery, a;
  std::future<Connection> first_watch = WatchedAtStart(discovery, "4");
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), discovery.address(),
            "ask");
  Connection watch = first_watch.get();
  Connection again = Watched(discovery, "4");
  again.SendChunk(EndpointListJson(4, false, {}).dump() + "\n");
  const std::string word = "event=watching",
                    log = (node.WaitForLog("why=silent"), usleep(300'000), node.Log());
  const std::size_t first = log.find(word), second = log.find(word, first + 1);
  assert(second != std::string::npos);
  const auto at = [&](std::size_t n) { return std::stoll(log.substr(log.rfind("ts=", n) + 3)); };
  assert(at(second) - at(first) < 4'700);
}

// A client that does not read: the node stops reading the host, keeps little, and then hands on every byte.
void Congested() {
  One w;
  Connection client = w.node.Connect();
  client.Send(RequestText("1"));
  Connection host = w.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  const std::string event = "data: " + std::string(32'000, 'e') + "\n\n";
  std::size_t sent = 0;
  const long before = w.node.ResidentKb();
  for (pollfd p{host.fd(), POLLOUT, 0}; sent < 4000 && poll(&p, 1, 500) == 1; ++sent) host.SendChunk(event);
  assert(sent < 4000);                            // it was held up
  assert(w.node.ResidentKb() - before < 64'000);  // half of what is there to be sent
  host.SendChunk("");
  client.ReadUntil("\r\n\r\n");
  std::size_t got = 0;
  for (std::size_t size = 1; size > 0; got += size) {  // framing is free: chunks may be cut anew
    size = std::stoul(client.ReadUntil("\r\n"), nullptr, 16);
    const std::string text = client.ReadBytes(size);
    for (std::size_t i = 0; i < size; ++i) assert(text[i] == event[(got + i) % event.size()]);
    assert(client.ReadBytes(2) == "\r\n");
  }
  assert(got == sent * event.size());
}

// More than the node has sockets or memory for: whoever is over is told to come back, all get one answer
// each, and once there is room the node goes on.
void TooMany(int sockets, int memory_mb, const std::string& body, const std::string& why) {
  ScriptedServer host;
  Node node(program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kNobody, "push",
            sockets, memory_mb);
  std::vector<Connection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(node.Connect());
    clients.back().Send(RequestText(std::to_string(i + 1), body, "5.0"));
    usleep(2'000);
  }
  for (Connection& client : clients) {  // the host answers none
    const std::string head = client.ReadMessage();
    assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
  }
  node.WaitForLog("why=" + why);
  for (std::string head; !Contains(head, " 200 ");) {  // those now idle make room
    Connection again = node.Connect();
    again.Send("GET /_health HTTP/1.1\r\n\r\n");
    head = again.ReadMessage();
    usleep(50'000);
  }
}

void Crowded() { TooMany(80, 192, "{}", "sockets"); }
void Scarce() { TooMany(1024, 16, std::string(250'000, 'b'), "memory"); }

// A sender that trickles does not keep its socket for ever, nor does one that says nothing; whoever has been
// served may be silent for longer.
void Trickle() {
  One w;
  Connection client = w.node.Connect(), mute = w.node.Connect(), served = w.node.Connect();
  const auto began = time(nullptr);
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: ");
  served.Send("GET /_health HTTP/1.1\r\n\r\n");
  assert(Contains(served.ReadMessage(), " 200 "));
  assert(Contains(client.ReadMessage(), " 408 "));
  assert(mute.ReadToEnd().empty() && time(nullptr) - began <= 6);
  assert(!served.ReadableWithin(0));
}

// Half requests by the hundred do not keep a usual client out: the oldest of them make room.
void Mute() {
  ScriptedServer host;
  Node node(program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kNobody, "push", 120);
  std::vector<Connection> mute;
  for (int i = 0; i < 45; ++i) {
    mute.push_back(node.Connect());
    mute.back().Send("POST /v1");
  }
  usleep(700'000);
  Serves(node, host, "1");
}

// A handle that has ended finds nothing, though its slot is in use again; buffers come back to their pool.
void Parts() {
  ryeglade::SlotTable<int> slots;
  const ryeglade::Handle old = slots.Add(1);
  slots.Remove(old);
  const ryeglade::Handle young = slots.Add(2);
  assert(static_cast<std::uint32_t>(old) == static_cast<std::uint32_t>(young));
  assert(slots.Get(old) == nullptr && *slots.Get(young) == 2 && slots.size() == 1);
  slots.Remove(old);
  assert(slots.size() == 1);

  ryeglade::BufferPool pool(3 * ryeglade::BufferPool::kSize);
  {
    ryeglade::BufferChain chain(&pool);
    const std::string text(2 * ryeglade::BufferPool::kSize + 1, 'x');
    assert(chain.Append(text) && chain.size() == text.size() && pool.in_use() == 3);
    ryeglade::BufferChain moved = std::move(chain);
    assert(!moved.Append(std::string(ryeglade::BufferPool::kSize, 'y')) && pool.NearlyExhausted());
  }
  assert(pool.in_use() == 0);
}

}  // namespace
}  // namespace scripted

int main(int argc, char** argv) {
  using namespace scripted;
  const std::map<std::string, void (*)()> all = {{"calm", Calm},          {"broken", Broken},
                                                 {"silent", Silent},      {"elsewhere", Elsewhere},
                                                 {"refused", Refused},    {"timeout", Timeout},
                                                 {"bad-input", BadInput}, {"duplicate", Duplicate},
                                                 {"leaves", Leaves},      {"terminates", Terminates},
                                                 {"list", ListChanges},   {"congested", Congested},
                                                 {"crowded", Crowded},    {"scarce", Scarce},
                                                 {"trickle", Trickle},    {"mute", Mute},
                                                 {"spoilt", Spoilt},      {"silent-watch", SilentWatch},
                                                 {"surplus", Surplus},    {"parts", Parts},
                                                 {"reloads", Reloads}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 3 && all.contains(argv[2]));
  program = argv[1];
  all.at(argv[2])();
  std::printf("ok %s\n", argv[2]);
}
