// Attempts whose connection comes up late: what has happened since the decision to send may forbid them.
// `late_attempts PROGRAM NAME` plays one scenario around a node as a process.
#include <functional>
#include <map>

#include "scripted_peers.h"

namespace stories {
namespace {

std::string program;

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

nlohmann::json Guarded(const char* scope) {
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

// The replica begins to drain while the connection to it is not up yet: the request goes elsewhere at once.
void AfterDrain() {
  const Peer discovery, other;
  LateHost late;
  std::future<Conn> first_watch = AnswerWatchAtStart(discovery, List(1, false, {}));
  const Node node(program, List(1, true, {Instance("s-late", late.at())}), discovery.at(), "push");
  Conn watch = first_watch.get();
  Conn client = node.Client();
  client.Send(Ask("1"));
  usleep(100'000);
  watch.Chunk(
      List(2, false, {Instance("s-late", late.at(), "leaving"), Instance("s-other", other.at())}).dump() +
      "\n");
  usleep(100'000);
  late.Open();
  assert(!late.Requested(2'000));
  Conn up = other.Accept();
  assert(Has(up.Message(), "X-Call-Id: 1"));
}

// A repeat that would come after the window in which replicas drop repeats is not sent.
void AfterWindow() {
  for (const char* scope : {"all", "zone"}) {
    const Peer discovery, first;
    LateHost late;
    std::future<Conn> first_watch = AnswerWatchAtStart(discovery, List(1, false, {}));
    const Node node(program, List(1, true, {Instance("s-first", first.at())}), discovery.at(), "push", 1024,
                    192, "", false, Guarded(scope));
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
    assert(!late.Requested(2'000));
    const int status = StatusOf(client.Message());
    assert(std::string(scope) == "all" ? status == 503 : status == 502);
  }
}

// The process is held up while the connection comes up and, after that, the client leaves.
void AfterClient() {
  LateHost late;
  const Node node(program, List(1, true, {Instance("s-late", late.at())}), "127.0.0.1:9");
  Conn client = node.Client();
  client.Send(Ask("1"));
  usleep(200'000);
  node.Stop();
  late.Open();
  usleep(1'300'000);
  client.Close();
  usleep(200'000);
  node.Continue();
  assert(!late.Requested(1'000));
  assert(Has(node.Log(), "client-gone"));
}

}  // namespace
}  // namespace stories

int main(int argc, char** argv) {
  using namespace stories;
  const std::map<std::string, std::function<void()>> all = {
      {"after-drain", AfterDrain}, {"after-window", AfterWindow}, {"after-client", AfterClient}};
  signal(SIGPIPE, SIG_IGN);
  assert(argc == 3 && all.contains(argv[2]));
  program = argv[1];
  all.at(argv[2])();
  std::printf("ok %s\n", argv[2]);
}
