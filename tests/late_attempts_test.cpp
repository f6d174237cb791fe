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
  LateHost() : peer_(0), filler_(Dial(peer_.port())) { usleep(20'000); }
  std::string at() const { return peer_.at(); }
  void Open() { peer_.Accept().Close(); }
  // Whether a request comes within so many milliseconds.
  bool Requested(int ms) const {
    if (!peer_.Called(ms)) return false;
    const Conn up = peer_.Accept();
    char byte = 0;
    return up.Readable(ms) && recv(up.fd(), &byte, 1, MSG_PEEK) > 0;
  }

 private:
  Peer peer_;
  Conn filler_;
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
  const Peer discovery, other;
  LateHost late;
  std::future<Conn> first_watch = AnswerWatchAtStart(discovery, List(1, false, {}));
  const Node node(Program(), List(1, true, {Instance("s-late", late.at())}), discovery.at(), "push");
  Conn watch = first_watch.get();
  Conn client = node.Client();
  client.Send(Ask("1"));
  usleep(100'000);
  watch.Chunk(
      List(2, false, {Instance("s-late", late.at(), "leaving"), Instance("s-other", other.at())}).dump() +
      "\n");
  usleep(100'000);
  late.Open();
  ASSERT_FALSE(late.Requested(2'000));
  Conn up = other.Accept();  // it goes elsewhere at once
  ASSERT_TRUE(Has(up.Message(), "X-Call-Id: 1"));
}

// One that would come after the window in which replicas drop repeats.
TEST_F(LateAttempts, ARepeatAfterTheWindowIsNotSent) {
  for (const char* scope : {"all", "zone"}) {
    const Peer discovery, first;
    LateHost late;
    std::future<Conn> first_watch = AnswerWatchAtStart(discovery, List(1, false, {}));
    const Node node(Program(), List(1, true, {Instance("s-first", first.at())}), discovery.at(), "push", 1024,
                    192, "", false, NotIdempotent(scope));
    Conn watch = first_watch.get();
    Conn client = node.Client();
    client.Send(Ask("1"));
    Conn up = first.Accept();
    up.Message();
    watch.Chunk(
        List(2, false, {Instance("s-first", first.at(), "leaving"), Instance("s-late", late.at())}).dump() +
        "\n");
    node.WaitLog("generation=2");
    up.Close();  // it may have run
    usleep(100'000);
    late.Open();
    ASSERT_FALSE(late.Requested(2'000)) << scope;
    ASSERT_EQ(StatusOf(client.Message()), std::string(scope) == "all" ? 503 : 502) << scope;
  }
}

// The process is stopped while the connection comes up and, after that, the client leaves.
TEST_F(LateAttempts, AClientThatLeftMeanwhileGetsNothingSent) {
  LateHost late;
  const Node node(Program(), List(1, true, {Instance("s-late", late.at())}), "127.0.0.1:9");
  Conn client = node.Client();
  client.Send(Ask("1"));
  usleep(200'000);
  node.Stop();
  late.Open();
  usleep(1'300'000);
  client.Close();
  usleep(200'000);
  node.Continue();
  ASSERT_FALSE(late.Requested(1'000));
  ASSERT_TRUE(Has(node.Log(), "client-disconnected"));
}

}  // namespace
}  // namespace scripted
