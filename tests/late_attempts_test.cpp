// Attempts whose connection is established late: something that happened after the decision to send may mean
// that the request must not be written any more. Runs a node as a process, between scripted peers.
#include <gtest/gtest.h>

#include "scripted_peers.h"

namespace scripted {
namespace {

std::string Program() { return std::getenv("RYEGLADE_PROGRAM"); }

class LateAttempts : public testing::Test {
 protected:
  static void SetUpTestSuite() { signal(SIGPIPE, SIG_IGN); }
};

// A host whose kernel drops the first SYN of a new connection, because its accept queue is full until Open is
// called. The client's kernel sends the SYN again a second later.
class LateHost {
 public:
  LateHost() : peer_(0), filler_(ConnectTo(peer_.port())) { usleep(20'000); }
  std::string address() const { return peer_.address(); }
  void Open() { peer_.Accept().Close(); }
  // Returns whether a request arrives within `ms` milliseconds.
  bool HasRequestWithin(int ms) const {
    if (!peer_.HasConnectionWithin(ms)) return false;
    const Connection upstream = peer_.Accept();
    char byte = 0;
    return upstream.ReadableWithin(ms) && recv(upstream.fd(), &byte, 1, MSG_PEEK) > 0;
  }

 private:
  ScriptedServer peer_;
  Connection filler_;
};

// Settings with one class whose requests must not run twice. Replicas within `scope` drop duplicates for half
// a second.
nlohmann::json NotIdempotent(const char* scope) {
  return {{"settings",
           {{"classes",
             {{{"name", "docs"},
               {"promise", 20'000'000},
               {"deadline", 60'000'000},
               {"stream", true},
               {"effect", "guarded"},
               {"dedup-scope", scope},
               {"window", 500'000}}}}}}};
}

TEST_F(LateAttempts, NothingIsSentToAReplicaThatStartedToDrain) {
  const ScriptedServer discovery, other;
  LateHost late;
  std::future<Connection> first_watch = AnswerWatchAtStart(discovery, EndpointListJson(1, false, {}));
  const Node node(Program(), EndpointListJson(1, true, {InstanceJson("s-late", late.address())}),
                  discovery.address(), "push");
  Connection watch = first_watch.get();
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  usleep(100'000);
  watch.SendChunk(EndpointListJson(2, false,
                                   {InstanceJson("s-late", late.address(), "leaving"),
                                    InstanceJson("s-other", other.address())})
                      .dump() +
                  "\n");
  usleep(100'000);
  late.Open();
  ASSERT_FALSE(late.HasRequestWithin(2'000));
  Connection upstream = other.Accept();  // the request is sent to the other replica at once
  ASSERT_TRUE(Contains(upstream.ReadMessage(), "X-Call-Id: 1"));
}

// A retry that would arrive after the window in which replicas drop duplicates.
TEST_F(LateAttempts, RetryAfterTheDeduplicationWindowIsNotSent) {
  for (const char* scope : {"all", "zone"}) {
    const ScriptedServer discovery, first;
    LateHost late;
    std::future<Connection> first_watch = AnswerWatchAtStart(discovery, EndpointListJson(1, false, {}));
    const Node node(Program(), EndpointListJson(1, true, {InstanceJson("s-first", first.address())}),
                    discovery.address(), "push", 1024, 192, "", false, NotIdempotent(scope));
    Connection watch = first_watch.get();
    Connection client = node.Connect();
    client.Send(RequestText("1"));
    Connection upstream = first.Accept();
    upstream.ReadMessage();
    watch.SendChunk(EndpointListJson(2, false,
                                     {InstanceJson("s-first", first.address(), "leaving"),
                                      InstanceJson("s-late", late.address())})
                        .dump() +
                    "\n");
    node.WaitForLog("generation=2");
    upstream.Close();  // the request may have run
    usleep(100'000);
    late.Open();
    ASSERT_FALSE(late.HasRequestWithin(2'000)) << scope;
    ASSERT_EQ(StatusOf(client.ReadMessage()), std::string(scope) == "all" ? 503 : 502) << scope;
  }
}

// The node process is stopped while the connection is established and then the client disconnects.
TEST_F(LateAttempts, NothingIsSentForADisconnectedClient) {
  LateHost late;
  const Node node(Program(), EndpointListJson(1, true, {InstanceJson("s-late", late.address())}),
                  "127.0.0.1:9");
  Connection client = node.Connect();
  client.Send(RequestText("1"));
  usleep(200'000);
  node.Suspend();
  late.Open();
  usleep(1'300'000);
  client.Close();
  usleep(200'000);
  node.Resume();
  ASSERT_FALSE(late.HasRequestWithin(1'000));
  ASSERT_TRUE(Contains(node.Log(), "client-disconnected"));
}

}  // namespace
}  // namespace scripted
