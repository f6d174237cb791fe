// The rule on duplicate execution, tested on a node as a process: which status it returns for a request that
// may have run, for each effect that a class can have. 429 and 503 promise that repeating the request is
// harmless; other statuses promise nothing.
#include <gtest/gtest.h>

#include "scripted_peers.h"

namespace scripted {
namespace {

std::string Program() { return std::getenv("RYEGLADE_PROGRAM"); }

class DuplicateExecution : public testing::Test {
 protected:
  static void SetUpTestSuite() { signal(SIGPIPE, SIG_IGN); }
};

const std::string kUnreachable = "127.0.0.1:9";  // address of a discovery service that the node does not need

// A class's effect and deduplication scope, and what follows from them.
struct EffectCase {
  const char* effect;
  const char* scope;
  bool may_reject;  // whether the node may reject a request of which an attempt may have run
};
const EffectCase kEffects[] = {{"free", "all", true},
                               {"single_shot", "all", false},
                               {"guarded", "all", true},
                               {"guarded", "zone", false},
                               {"guarded", "cell", false}};

nlohmann::json ClassJson(const EffectCase& effect_case, long deadline_us) {
  return {{"name", "docs"},
          {"promise", deadline_us / 2},
          {"deadline", deadline_us},
          {"stream", true},
          {"effect", effect_case.effect},
          {"dedup-scope", effect_case.scope},
          {"window", 500000},
          {"late-worth", 0.5}};
}

nlohmann::json SettingsJson(const EffectCase& effect_case, long deadline_us) {
  return {{"settings", {{"classes", {ClassJson(effect_case, deadline_us)}}}}};
}

Node NodeWith(const ScriptedServer& host, const EffectCase& effect_case, long deadline_us) {
  return Node(Program(), EndpointListJson(1, true, {InstanceJson("s-a", host.address())}), kUnreachable,
              "push", 1024, 192, "", false, SettingsJson(effect_case, deadline_us));
}

bool PromisesSafeRetry(int status) { return status == 429 || status == 503; }

// A replica accepts a request and never answers, until the node, which is shutting down, has to answer
// itself.
TEST_F(DuplicateExecution, ReplicaHangsDuringShutdown) {
  for (const EffectCase& effect_case : kEffects) {
    const ScriptedServer host;
    Node node = NodeWith(host, effect_case, 1'000'000);
    Connection client = node.Connect();
    client.Send(RequestText("1"));
    Connection upstream = host.Accept();
    upstream.ReadMessage();
    node.SendSigterm();
    const int status = StatusOf(client.ReadMessage());
    std::printf("%s %s: %d\n", effect_case.effect, effect_case.scope, status);
    ASSERT_EQ(PromisesSafeRetry(status), effect_case.may_reject)
        << effect_case.effect << ' ' << effect_case.scope << ' ' << status;
    ASSERT_EQ(node.WaitForExit(), 0);
  }
}

// The request arrives with very little of its time budget left: the attempt is still in flight when the node
// has to answer.
TEST_F(DuplicateExecution, AttemptInFlightWhenLittleTimeIsLeft) {
  for (const EffectCase& effect_case : kEffects) {
    const ScriptedServer host;
    const Node node = NodeWith(host, effect_case, 60'000'000);
    for (const char* budget : {"0.022", "0.024", "0.026", "0.028", "0.030", "0.032", "0.036"}) {
      Connection client = node.Connect();
      client.Send(RequestText("1", "{}", budget));
      const int status = StatusOf(client.ReadMessage());
      const bool sent = host.HasConnectionWithin(0);
      std::printf("%s %s %s: %d%s\n", effect_case.effect, effect_case.scope, budget, status,
                  sent ? ", sent" : "");
      ASSERT_TRUE(!sent || PromisesSafeRetry(status) == effect_case.may_reject);
      if (sent) host.Accept().ReadMessage();
    }
  }
}

}  // namespace
}  // namespace scripted
