// The node between scripted peers: one scenario for each failure that has occurred or is expected.
// `request_lifecycle PROGRAM NAME` runs one of them.
#include <cstring>
#include <future>
#include <map>

#include "base/buffer_pool.h"
#include "base/slot_table.h"
#include "scripted_peers.h"

namespace scripted {
namespace {

std::string program;
const std::string kUnreachable = "127.0.0.1:9";  // address of a discovery service that the node does not need

// A node with one upstream host.
struct SingleHostNode {
  ScriptedServer host;
  Node node{program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kUnreachable};
};

// Events are passed on unchanged and at once, the last chunk only after the host's own. Both connections are
// reused.
void PassesEventsUnchanged() {
  SingleHostNode setup;
  Connection client = setup.node.Connect(), host;
  for (const std::string id : {"9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"}) {
    usleep(50'000);  // a connection is reused only after it has been idle for a moment
    client.Send(RequestText(id, "{\"a\":1}"));
    if (host.fd() < 0) host = setup.host.Accept();
    std::string body;
    const std::string head = host.ReadMessage(&body);
    assert(head.rfind("POST /v1/chat/completions?x=1 HTTP/1.1\r\n", 0) == 0);
    assert(Contains(head, "X-Call-Id: " + id + "\r\n") && Contains(head, "X-Budget: ") &&
           body == "{\"a\":1}");
    host.Send(kStreamHead);
    for (const std::string event : {"data: {\"a\"}\n\n", "data: b\r\n\r\n", "data: [DONE]\n\n"}) {
      host.SendChunk(event);
      assert(Contains(client.ReadUntil(event), "\r\n"));  // received before the next event is sent
    }
    assert(client.ReadBytes(2) == "\r\n" && !client.ReadableWithin(100));
    host.SendChunk("");
    assert(client.ReadBytes(5) == "0\r\n\r\n");
  }
  assert(!setup.host.HasConnectionWithin(0));
}

// Starts a stream and waits until the client has received its first event. Returns the upstream connection.
Connection StartStream(const SingleHostNode& setup, Connection& client, const std::string& id = "1") {
  client.Send(RequestText(id));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  host.SendChunk("data: x\n\n");
  client.ReadUntil("data: x\n\n");
  return host;
}

// When the upstream connection breaks, the client's connection is closed without the last chunk.
void UpstreamStreamBreaks() {
  SingleHostNode setup;
  Connection client = setup.node.Connect();
  Connection host = StartStream(setup, client);
  host.Close();
  assert(client.ReadToEnd() == "\r\n");
}

// A host that sends nothing more has the same effect as one whose connection breaks. Its connection stays
// open, so only the node's idle timeout detects this.
void UpstreamStreamStalls() {
  SingleHostNode setup;
  Connection client = setup.node.Connect();
  Connection host = StartStream(setup, client);
  assert(client.ReadToEnd() == "\r\n");
  assert(host.ReadToEnd().empty());  // the node closes the upstream connection too
}

// A request that a host rejects or that fails there is retried at another host, with one attempt in flight at
// a time.
void RetriesAtAnotherHost() {
  for (const std::string& response :
       std::vector<std::string>{"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n",
                                "HTTP/1.1 500 No\r\nContent-Length: 2\r\n\r\nno", "",
                                "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "garbage\r\n\r\n",
                                "HTTP/1.1 200 OK\r\nTransfer-Enc", "HTTP/1.1 101 Other\r\n\r\n",
                                kStreamHead + "5\r\nnoise\r\n", kStreamHead + "9\r\ndata: x\n\nbut more",
                                kStreamHead + "zz\r\n", kStreamHead + "B2D05E00\r\ndata: x\n\n"}) {
    ScriptedServer a, b;
    Node node(program,
              EndpointListJson(1, true, {InstanceJson("s-a", a.address()), InstanceJson("s-b", b.address())}),
              kUnreachable);
    Connection client = node.Connect();
    client.Send(RequestText("1", std::string(200'000, 'p')));
    while (!a.HasConnectionWithin(5) && !b.HasConnectionWithin(5)) {
    }
    ScriptedServer& first = a.HasConnectionWithin(0) ? a : b;
    ScriptedServer& second = a.HasConnectionWithin(0) ? b : a;
    Connection one = first.Accept();
    one.ReadMessage();
    assert(!second.HasConnectionWithin(50));
    response.empty() ? one.Close() : one.Send(response);
    Connection two = second.Accept();
    std::string body;
    two.ReadMessage(&body);
    assert(body == std::string(200'000, 'p'));
    two.Send(kStreamHead);
    two.SendChunk("data: y\n\n");
    two.EndStream();
    assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: y"));
  }
}

// Malformed data after the first event is not passed on, and the client's connection is closed without the
// last chunk.
void MalformedAfterFirstEvent() {
  for (const std::string& rest : std::vector<std::string>{"9\r\ndata: y\n\nXX9\r\ndata: y\n\n\r\n0\r\n\r\n",
                                                          "zz\r\ndata: y\n\n", "B2D05E00\r\ndata: y\n\n"}) {
    SingleHostNode setup;
    Connection client = setup.node.Connect();
    Connection host = StartStream(setup, client);
    host.Send(rest);
    assert(client.ReadToEnd() == "\r\n");
  }
}

// Responses beside the expected one. 1xx responses before it have no influence on it and do not start its
// timeout. A second response right after it is never used for the next request, even if both are read in one
// iteration of the loop.
void ExtraResponses() {
  SingleHostNode setup;
  Connection client = setup.node.Connect();
  client.Send(RequestText("1"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  host.Send("HTTP/1.1 103 Early\r\nX-Rejected: 1\r\nX-Empty:\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n");
  usleep(1'200'000);  // longer than kFirstEventTimeout, which must not run yet
  host.Send("HTTP/1.1 503 Broken\r\nContent-Length: 0\r\n\r\n");
  setup.node.WaitForLog("outcome=error");  // not a rejection: X-Rejected was in the 1xx response
  usleep(50'000);
  if (!host.ReadableWithin(2'000)) host = setup.host.Accept();
  host.ReadMessage();
  const std::string response = kStreamHead + "9\r\ndata: a\n\n\r\n" + kStreamEnd;
  host.Send(response);
  assert(Contains(client.ReadUntil("0\r\n\r\n"), "data: a"));
  usleep(50'000);
  setup.node.Suspend();
  client.Send(RequestText("2"));
  usleep(20'000);
  host.Send(kStreamHead + "9\r\ndata: 9\n\n\r\n" + kStreamEnd);
  setup.node.Resume();
  Connection other = setup.host.Accept();
  other.ReadMessage();
  other.Send(response);
  assert(!Contains(client.ReadUntil("0\r\n\r\n"), "data: 9"));
}

// No host listens: a refused connection proves that the request never ran, so it is rejected at once.
void ConnectionRefused() {
  SingleHostNode setup;
  setup.host.StopListening();
  Connection client = setup.node.Connect();
  client.Send(RequestText("1", "{}", "3.0"));
  const std::string head = client.ReadMessage();
  assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
}

// A host that never answers: the node responds before the time budget ends, and cancels the attempt.
void HostNeverAnswers() {
  SingleHostNode setup;
  Connection client = setup.node.Connect();
  client.Send(RequestText("1", "{}", "0.800"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  const std::string head = client.ReadMessage();
  assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
  assert(host.ReadToEnd().empty());
  // There is no further attempt that could not succeed, and it was not the watchdog that answered.
  assert(!setup.host.HasConnectionWithin(50) && !Contains(setup.node.Log(), "watchdog-reply"));
  client.Send(RequestText("2", "{}", "0"));  // no time budget at all
  assert(Contains(client.ReadMessage(), " 503 "));
}

// Each invalid request gets one local reply, and the node keeps working.
void InvalidRequests() {
  SingleHostNode setup;
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
    Connection client = setup.node.Connect();
    client.Send(text);
    const std::string head = client.ReadMessage();
    if (!Contains(head, status))
      std::fprintf(stderr, "%s\n-> %s\n", text.substr(0, 80).c_str(), head.c_str());
    assert(Contains(head, status));
    shutdown(client.fd(), SHUT_WR);
    assert(!Contains(client.ReadToEnd(), "HTTP/1.1"));
  }
  Connection client = setup.node.Connect();
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
  for (int i = 0; i < 5; ++i) client.SendChunk(std::string(60'000, 'x'));
  assert(Contains(client.ReadMessage(), " 413 "));
  Connection valid = setup.node.Connect();
  valid.Send("GET /_health HTTP/1.1\r\n\r\nGET /_health HTTP/1.1\r\n\r\n");  // pipelined; answered in order
  for (int i = 0; i < 2; ++i) assert(Contains(valid.ReadMessage(), " 200 "));
}

// A second request with the id of an open request is rejected: it would be a duplicate upstream.
void DuplicateRequestId() {
  SingleHostNode setup;
  Connection first = setup.node.Connect(), second = setup.node.Connect();
  first.Send(RequestText("77"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  second.Send(RequestText("77"));
  assert(Contains(second.ReadMessage(), " 409 "));
  assert(!setup.host.HasConnectionWithin(50));
}

// When a client disconnects, its upstream request is cancelled, before the first event as well as after it.
void ClientDisconnects() {
  SingleHostNode setup;
  Connection waiting = setup.node.Connect();
  waiting.Send(RequestText("1"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  waiting.Close();
  host.ReadToEnd();
  Connection running = setup.node.Connect();
  host = StartStream(setup, running, "2");
  running.Close();
  for (int i = 0; !host.ReadableWithin(50); ++i) {  // keeps sending, so that the idle timeout does not end it
    assert(i < 400);
    host.SendChunk("data: y\n\n");
  }
}

// After SIGTERM, health checks fail, new requests are served and their connections closed, and running
// streams are completed. Only then does the node exit, with status 0.
void ShutsDownGracefully() {
  SingleHostNode setup;
  Connection running = setup.node.Connect(), kept = setup.node.Connect();
  kept.Send("GET /_health HTTP/1.1\r\n\r\n");
  assert(Contains(kept.ReadMessage(), " 200 "));
  running.Send(RequestText("1"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  host.SendChunk("data: a\n\n");
  running.ReadUntil("data: a\n\n\r\n");
  setup.node.SendSigterm();
  setup.node.WaitForLog("draining");
  kept.Send("GET /_health HTTP/1.1\r\n\r\n");
  const std::string health = kept.ReadMessage();
  assert(Contains(health, " 503 ") && Contains(health, "Connection: close"));
  Connection late = setup.node.Connect();
  late.Send(RequestText("2"));
  Connection other = setup.host.Accept();
  other.ReadMessage();
  other.Send(kStreamHead);
  other.SendChunk("data: b\n\n");
  other.EndStream();
  const std::string response = late.ReadUntil("0\r\n\r\n");
  assert(Contains(response, "Connection: close") && Contains(response, "data: b"));
  usleep(1'500'000);  // longer than the node would have run without an open stream
  host.SendChunk("data: c\n\n");
  host.EndStream();
  assert(Contains(running.ReadUntil("0\r\n\r\n"), "data: c"));
  assert(setup.node.WaitForExit() == 0);

  // A request without a response is answered before SIGKILL may come, however long its time budget is.
  SingleHostNode slow;
  Connection patient = slow.node.Connect();
  patient.Send(RequestText("3", "{}", "90.000"));
  slow.host.Accept().ReadMessage();
  slow.node.SendSigterm();
  assert(Contains(patient.ReadMessage(), " 503 "));
  assert(slow.node.WaitForExit() == 0);

  // If clients can resume streams elsewhere, a stream that is still running is migrated.
  ScriptedServer migrating_host;
  Node migrating(program, EndpointListJson(1, true, {InstanceJson("s-a", migrating_host.address())}),
                 kUnreachable, "push", 1024, 192, "", true);
  Connection follower = migrating.Connect();
  follower.Send(RequestText("4"));
  Connection running_on = migrating_host.Accept();
  running_on.ReadMessage();
  running_on.Send(kStreamHead);
  running_on.SendChunk("data: a\n\n");
  follower.ReadUntil("data: a\n\n\r\n");
  migrating.SendSigterm();
  int sent = 0;  // the host keeps sending, so that the idle timeout does not end the stream
  for (; sent < 200 && !running_on.ReadableWithin(50); ++sent) running_on.SendChunk("data: b\n\n");
  assert(sent < 200 && !Contains(follower.ReadToEnd(), "\r\n0\r\n"));
  assert(migrating.WaitForExit() == 0);

  SingleHostNode idle;  // without open requests, the node still serves for a while
  idle.node.SendSigterm();
  assert(idle.node.WaitForExit() == 0);
  const std::string log = idle.node.Log();
  const auto time_of = [&](const char* event) {
    return std::stoll(log.substr(log.rfind("ts=", log.find(event)) + 3));
  };
  assert(time_of("event=stopped") - time_of("event=draining") >= 700);
}

// Accepts the node's watch, which must start from generation `since`, and sends the response head.
Connection AcceptWatch(const ScriptedServer& discovery, const std::string& since) {
  Connection watch = discovery.Accept();
  assert(Contains(watch.ReadMessage(), "GET /catalog/members?follow=1&since=" + since + " "));
  watch.Send("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n");
  return watch;
}

// Answers, in a thread, the watch that a node opens while it starts: the node listens for clients only after
// it has received a list.
std::future<Connection> AcceptWatchAtStart(const ScriptedServer& discovery, const std::string& since) {
  return std::async(std::launch::async, [&discovery, since] {
    Connection watch = AcceptWatch(discovery, since);
    watch.SendChunk(EndpointListJson(std::stoi(since), false, {}).dump() + "\n");
    return watch;
  });
}

// Sends a request through the node and serves it at `host`, which must be where the node sends it.
void ServeRequest(const Node& node, const ScriptedServer& host, const std::string& id) {
  Connection client = node.Connect();
  client.Send(RequestText(id));
  Connection upstream = host.Accept();
  upstream.ReadMessage();
  upstream.Send(kStreamHead);
  upstream.SendChunk("data: z\n\n");
  upstream.EndStream();
  client.ReadUntil("0\r\n\r\n");
}

// Changes of the endpoint list: the node serves from its cached list (`known`) while discovery is down, then
// follows a replacement, a changed address, a draining replica, and a watch that is opened again.
void ListChanges() {
  ScriptedServer discovery, a, b, c;
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), discovery.address(),
            "ask");
  discovery.Accept().Close();  // discovery is down: the decision module retries by itself
  ServeRequest(node, a, "1");
  Connection watch = AcceptWatch(discovery, "4");
  const auto send_list = [&](const nlohmann::json& list, const std::string& logged) {
    const std::string line = list.dump() + "\n";
    watch.SendChunk(line.substr(0, 9));  // a line may arrive in pieces
    watch.SendChunk(line.substr(9));
    node.WaitForLog(logged);
  };
  send_list(EndpointListJson(5, false,
                             {InstanceJson("s-a", a.address(), "left"), InstanceJson("s-b", b.address())}),
            "generation=5");
  ServeRequest(node, b, "2");
  send_list(EndpointListJson(6, false, {InstanceJson("s-b", c.address())}), "generation=6");
  ServeRequest(node, c, "3");
  assert(!b.HasConnectionWithin(0));
  send_list(
      EndpointListJson(
          7, true,
          {InstanceJson("s-b", c.address(), "leaving"), InstanceJson("s-d", a.address()), {{"odd", 1}}}),
      "generation=7");
  ServeRequest(node, a, "4");
  watch.Close();
  Connection again = AcceptWatch(discovery, "7");
  again.SendChunk("not json\n");
  node.WaitForLog("why=malformed");
  ServeRequest(node, a, "5");
}

// SIGHUP: an invalid config file changes nothing. A valid one with another discovery address moves the watch,
// even if EDGE_DISCOVERY has another value: the node first fetches the complete list, and keeps the old watch
// until the new one has sent something. After SIGTERM the node still exits with status 0.
void ReloadsConfig() {
  ScriptedServer before, after, a, b;
  std::future<Connection> first = AcceptWatchAtStart(before, "4");
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), kUnreachable, "ask", 1024,
            192, before.address());
  Connection watch = first.get();
  node.WriteConfig("{");
  node.SendSighup();
  node.WaitForLog("reload-failed");
  ServeRequest(node, a, "1");
  node.Reload("listen", "127.0.0.1:1");
  node.WaitForLog("reload-needs-restart what=listen");
  node.Reload("discovery", after.address());
  after.Accept().Close();  // not available yet: the node retries, and uses the old watch until then
  Connection fetch = after.Accept();
  assert(Contains(fetch.ReadMessage(), "GET /catalog/members "));
  watch.SendChunk(
      EndpointListJson(5, false, {InstanceJson("s-b", b.address()), InstanceJson("s-a", a.address(), "left")})
          .dump() +
      "\n");
  node.WaitForLog("generation=5");
  ServeRequest(node, b, "2");
  assert(!watch.ReadableWithin(50));
  const std::string list = EndpointListJson(2, true, {InstanceJson("s-a", a.address())}).dump();
  fetch.Send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(list.size()) + "\r\n\r\n" + list);
  Connection moved = AcceptWatch(after, "2");
  assert(!watch.ReadableWithin(50));
  moved.SendChunk("\n");
  watch.ReadToEnd();
  ServeRequest(node, a, "3");
  moved.Close();
  AcceptWatch(after, "2");  // the watch is opened again at the new address
  node.SendSigterm();
  assert(node.WaitForExit() == 0);
}

// A watch that falls silent is detected and opened again well before discovery counts changes as delivered.
void SilentWatch() {
  ScriptedServer discovery, a;
  std::future<Connection> first_watch = AcceptWatchAtStart(discovery, "4");
  Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), discovery.address(),
            "ask");
  Connection watch = first_watch.get();
  Connection again = AcceptWatch(discovery, "4");
  again.SendChunk(EndpointListJson(4, false, {}).dump() + "\n");
  node.WaitForLog("why=silent");
  usleep(300'000);
  const std::string event = "event=watching", log = node.Log();
  const std::size_t first = log.find(event), second = log.find(event, first + 1);
  assert(second != std::string::npos);
  const auto at = [&](std::size_t n) { return std::stoll(log.substr(log.rfind("ts=", n) + 3)); };
  assert(at(second) - at(first) < 4'700);
}

// Guards against a list whose chunks can't be read being put into force with what the parser library makes of
// it: each way to break the chunk fails the watch, and the replicas of the list stay unknown.
void UnreadableLists() {
  const std::string list =
      EndpointListJson(5, true, {InstanceJson("s-b", "127.0.0.1:9"), InstanceJson("s-c", "127.0.0.1:9")})
          .dump();
  char size[16];
  std::snprintf(size, sizeof size, "%zx", list.size() + 1);
  const std::string text = list + "\n";
  const std::vector<std::string> chunks = {
      size + std::string("\r\n") + text + "}}0\r\n\r\n", size + std::string(" zz\r\n") + text + "\r\n",
      size + std::string("\rX") + text + "\r\n", size + std::string(";a\n\r\n") + text + "\r\n"};
  for (const std::string& chunk : chunks) {
    ScriptedServer discovery, a;
    std::future<Connection> first_watch = AcceptWatchAtStart(discovery, "4");
    Node node(program, EndpointListJson(4, true, {InstanceJson("s-a", a.address())}), discovery.address(),
              "ask");
    Connection watch = first_watch.get();
    Connection again = AcceptWatch(discovery, "4");
    again.Send(chunk);
    node.WaitForLog("why=malformed");
    assert(!Contains(node.Log(), "generation=5"));
  }
}

// While a client does not read, the node stops reading from the host and buffers little; afterwards it passes
// on every byte.
void ClientDoesNotRead() {
  SingleHostNode setup;
  Connection client = setup.node.Connect();
  client.Send(RequestText("1"));
  Connection host = setup.host.Accept();
  host.ReadMessage();
  host.Send(kStreamHead);
  const std::string event = "data: " + std::string(32'000, 'e') + "\n\n";
  std::size_t sent = 0;
  const long before = setup.node.ResidentKb();
  for (pollfd p{host.fd(), POLLOUT, 0}; sent < 4000 && poll(&p, 1, 500) == 1; ++sent) host.SendChunk(event);
  assert(sent < 4000);                                // the node stopped reading
  assert(setup.node.ResidentKb() - before < 64'000);  // half of all the data that could have been sent
  host.EndStream();
  client.ReadUntil("\r\n\r\n");
  const std::string done = "data: [DONE]\n\n";
  const std::size_t total = sent * event.size();
  std::size_t got = 0;
  for (std::size_t size = 1; size > 0; got += size) {  // the node may split the data into other chunks
    size = std::stoul(client.ReadUntil("\r\n"), nullptr, 16);
    const std::string text = client.ReadBytes(size);
    for (std::size_t i = 0; i < size; ++i) {
      const std::size_t at = got + i;
      assert(text[i] == (at < total ? event[at % event.size()] : done.at(at - total)));
    }
    assert(client.ReadBytes(2) == "\r\n");
  }
  assert(got == total + done.size());
}

// More requests than the node has sockets or memory for: those over the limit are rejected with a
// Retry-After, each client gets exactly one response, and the node works again once resources are free.
void OverLimit(int sockets, int memory_mb, const std::string& body, const std::string& why) {
  ScriptedServer host;
  Node node(program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kUnreachable, "push",
            sockets, memory_mb);
  std::vector<Connection> clients;
  for (int i = 0; i < 40; ++i) {
    clients.push_back(node.Connect());
    clients.back().Send(RequestText(std::to_string(i + 1), body, "5.0"));
    usleep(2'000);
  }
  for (Connection& client : clients) {  // the host answers no request
    const std::string head = client.ReadMessage();
    assert(Contains(head, " 503 ") && Contains(head, "Retry-After: "));
  }
  node.WaitForLog("why=" + why);
  for (std::string head; !Contains(head, " 200 ");) {  // the node closes idle connections to free resources
    Connection again = node.Connect();
    again.Send("GET /_health HTTP/1.1\r\n\r\n");
    head = again.ReadMessage();
    usleep(50'000);
  }
}

void OutOfSockets() { OverLimit(80, 192, "{}", "sockets"); }
void OutOfMemory() { OverLimit(1024, 16, std::string(250'000, 'b'), "memory"); }

// A client that sends its request too slowly, or sends nothing, is disconnected. A connection on which a
// request has been served may be idle for longer.
void SlowSenders() {
  SingleHostNode setup;
  Connection client = setup.node.Connect(), mute = setup.node.Connect(), served = setup.node.Connect();
  const auto began = time(nullptr);
  client.Send("POST /v1/chat/completions HTTP/1.1\r\nX-Call-Id: ");
  served.Send("GET /_health HTTP/1.1\r\n\r\n");
  assert(Contains(served.ReadMessage(), " 200 "));
  assert(Contains(client.ReadMessage(), " 408 "));
  assert(mute.ReadToEnd().empty() && time(nullptr) - began <= 6);
  assert(!served.ReadableWithin(0));
}

// Many connections with incomplete requests do not lock out other clients: the oldest of them are closed.
void IncompleteRequests() {
  ScriptedServer host;
  Node node(program, EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kUnreachable, "push",
            120);
  std::vector<Connection> incomplete;
  for (int i = 0; i < 45; ++i) {
    incomplete.push_back(node.Connect());
    incomplete.back().Send("POST /v1");
  }
  usleep(700'000);
  ServeRequest(node, host, "1");
}

// The handle of a removed value finds nothing although its slot is in use again. Buffers return to their
// pool.
void SlotTableAndBufferPool() {
  ryeglade::SlotTable<int> slots;
  const ryeglade::Handle removed = slots.Add(1);
  slots.Remove(removed);
  const ryeglade::Handle current = slots.Add(2);
  assert(static_cast<std::uint32_t>(removed) == static_cast<std::uint32_t>(current));
  assert(slots.Get(removed) == nullptr && *slots.Get(current) == 2 && slots.size() == 1);
  slots.Remove(removed);
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
  const std::map<std::string, void (*)()> all = {{"calm", PassesEventsUnchanged},
                                                 {"broken", UpstreamStreamBreaks},
                                                 {"silent", UpstreamStreamStalls},
                                                 {"elsewhere", RetriesAtAnotherHost},
                                                 {"refused", ConnectionRefused},
                                                 {"timeout", HostNeverAnswers},
                                                 {"bad-input", InvalidRequests},
                                                 {"duplicate", DuplicateRequestId},
                                                 {"leaves", ClientDisconnects},
                                                 {"terminates", ShutsDownGracefully},
                                                 {"list", ListChanges},
                                                 {"congested", ClientDoesNotRead},
                                                 {"crowded", OutOfSockets},
                                                 {"scarce", OutOfMemory},
                                                 {"trickle", SlowSenders},
                                                 {"mute", IncompleteRequests},
                                                 {"spoilt", MalformedAfterFirstEvent},
                                                 {"silent-watch", SilentWatch},
                                                 {"unreadable-lists", UnreadableLists},
                                                 {"surplus", ExtraResponses},
                                                 {"parts", SlotTableAndBufferPool},
                                                 {"reloads", ReloadsConfig}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 3 && all.contains(argv[2]));
  program = argv[1];
  all.at(argv[2])();
  std::printf("ok %s\n", argv[2]);
}
