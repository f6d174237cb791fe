// Attempts whose connection comes up late: what has happened since the decision to send may forbid them. A
// node as a process, between scripted peers.
#include <gtest/gtest.h>

#include "scripted_peers.h"

namespace scripted {
namespace {

std::string Program() { return std::getenv("RYEGLADE_PROGRAM"); }

class LateAttempts : public testing::Test {
 protected:
  static void SetUpTestSuite() { signal(SIGPIPE, SIG_IGN); }
};

// A host whose kernel drops the first call for a connection: its queue is full until Open. The caller's
// kernel calls again a second later.
class LateHost {
 public:
  LateHost() : peer_(0), filler_(ConnectTo(peer_.port())) { usleep(20'000); }
  std::string address() const { return peer_.address(); }
  void Open() { peer_.Accept().Close(); }
  // Whether a request comes within so many milliseconds.
  bool RequestedWithin(int ms) const {
    if (!peer_.HasConnectionWithin(ms)) return false;
    const Connection up = peer_.Accept();
    char byte = 0;
    return up.ReadableWithin(ms) && recv(up.fd(), &byte, 1, MSG_PEEK) > 0;
  }

 private:
  ScriptedServer peer_;
  Connection filler_;
};

// Settings with one class whose requests must not run twice; the replicas of `scope` drop repeats for half a
// second.
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

TEST_F(LateAttempts, AReplicaThatBeganToDrainMeanwhileGetsNothing) {
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
  ASSERT_FALSE(late.RequestedWithin(2'000));
  Connection up = other.Accept();  // it goes elsewhere at once
  ASSERT_TRUE(Contains(up.ReadMessage(), "X-Call-Id: 1"));
}

// One that would come after the window in which replicas drop repeats.
TEST_F(LateAttempts, ARepeatAfterTheWindowIsNotSent) {
  for (const char* scope : {"all", "zone"}) {
    const ScriptedServer discovery, first;
    LateHost late;
    std::future<Connection> first_watch = AnswerWatchAtStart(discovery, EndpointListJson(1, false, {}));
    const Node node(Program(), EndpointListJson(1, true, {InstanceJson("s-first", first.address())}),
                    discovery.address(), "push", 1024, 192, "", false, NotIdempotent(scope));
    Connection watch = first_watch.get();
    Connection client = node.Connect();
    client.Send(RequestText("1"));
    Connection up = first.Accept();
    up.ReadMessage();
    watch.SendChunk(EndpointListJson(2, false,
                                     {InstanceJson("s-first", first.address(), "leaving"),
                                      InstanceJson("s-late", late.address())})
                        .dump() +
                    "\n");
    node.WaitForLog("generation=2");
    up.Close();  // it may have run
    usleep(100'000);
    late.Open();
    ASSERT_FALSE(late.RequestedWithin(2'000)) << scope;
    ASSERT_EQ(StatusOf(client.ReadMessage()), std::string(scope) == "all" ? 503 : 502) << scope;
  }
}

// The process is stopped while the connection comes up and, after that, the client leaves.
TEST_F(LateAttempts, AClientThatLeftMeanwhileGetsNothingSent) {
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
  ASSERT_FALSE(late.RequestedWithin(1'000));
  ASSERT_TRUE(Contains(node.Log(), "client-disconnected"));
}

}  // namespace
}  // namespace scripted
