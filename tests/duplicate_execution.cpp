// The rule on duplicates around a node as a process: what it tells a client whose request may have run, for
// each effect that a class can have. 429 and 503 promise that a repeat is harmless; every other status
// promises nothing. `duplicates PROGRAM NAME` plays one scenario.
#include <functional>
#include <map>

#include "scripted_peers.h"

namespace stories {
namespace {

std::string program;
const std::string kNobody = "127.0.0.1:9";  // discovery that the node never needs

struct EffectCase {
  const char* effect;
  const char* scope;
  bool may_reject;  // although an attempt may have run
};
const EffectCase kEffects[] = {{"free", "all", true},
                               {"single_shot", "all", false},
                               {"guarded", "all", true},
                               {"guarded", "zone", false},
                               {"guarded", "cell", false}};

nlohmann::json ClassOf(const EffectCase& e, long deadline_us) {
  return {{"name", "docs"},     {"promise", deadline_us / 2}, {"deadline", deadline_us}, {"stream", true},
          {"effect", e.effect}, {"dedup-scope", e.scope},     {"window", 500000},        {"late-worth", 0.5}};
}

nlohmann::json SettingsOf(const EffectCase& e, long deadline_us) {
  return {{"settings", {{"classes", {ClassOf(e, deadline_us)}}}}};
}

Node NodeWith(const Peer& host, const EffectCase& e, long deadline_us) {
  return Node(program, List(1, true, {Instance("s-a", host.at())}), kNobody, "push", 1024, 192, "", false,
              SettingsOf(e, deadline_us));
}

bool Refuses(int status) { return status == 429 || status == 503; }

// A replica takes a request and says nothing, until the node that was told to end has to answer.
void HangsThroughShutdown() {
  for (const EffectCase& e : kEffects) {
    const Peer host;
    Node node = NodeWith(host, e, 1'000'000);
    Conn client = node.Client();
    client.Send(Ask("1"));
    Conn up = host.Accept();
    up.Message();
    node.Term();
    const int status = StatusOf(client.Message());
    std::printf("%s %s: %d\n", e.effect, e.scope, status);
    assert(Refuses(status) == e.may_reject);
    assert(node.Exit() == 0);
  }
}

// The client's time is nearly up as it asks: the attempt is still out when the node has to answer.
void LittleTimeLeft() {
  for (const EffectCase& e : kEffects) {
    const Peer host;
    const Node node = NodeWith(host, e, 60'000'000);
    for (const char* budget : {"0.022", "0.024", "0.026", "0.028", "0.030", "0.032", "0.036"}) {
      Conn client = node.Client();
      client.Send(Ask("1", "{}", budget));
      const int status = StatusOf(client.Message());
      const bool sent = host.Called(0);
      std::printf("%s %s %s: %d%s\n", e.effect, e.scope, budget, status, sent ? ", sent" : "");
      assert(!sent || Refuses(status) == e.may_reject);
      if (sent) host.Accept().Message();
    }
  }
}

}  // namespace
}  // namespace stories

int main(int argc, char** argv) {
  using namespace stories;
  const std::map<std::string, std::function<void()>> all = {{"hangs-through-shutdown", HangsThroughShutdown},
                                                            {"little-time-left", LittleTimeLeft}};
  signal(SIGPIPE, SIG_IGN);
  setvbuf(stdout, nullptr, _IOLBF, 0);  // what was seen last stands before a failed assertion
  assert(argc == 3 && all.contains(argv[2]));
  program = argv[1];
  all.at(argv[2])();
  std::printf("ok %s\n", argv[2]);
}
