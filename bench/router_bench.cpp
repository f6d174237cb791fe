// What the decision module costs for one request (arrival, first token, end) by the size of the fleet and the
// number of nodes, with two requests out at each replica; and the memory that it holds. The same probe before
// and after a change to the module tells what the change did to its cost.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <deque>
#include <memory>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy {
namespace {

// Arguments: replicas, nodes.
void OneRequest(benchmark::State& state) {
  const auto replicas = static_cast<ReplicaId>(state.range(0));
  Settings s;
  s.classes.resize(1);
  s.classes[0].latency_objective = 2'000'000;
  s.classes[0].late_weight_share = 0.3;
  s.classes[0].streaming = true;
  s.node_count = static_cast<int>(state.range(1));
  s.max_attempts = 3;
  s.load_fields = {LoadField::kInFlight};
  s.load_reports_in_responses = true;
  const std::size_t before = mallinfo2().uordblks;
  Time now = 1'000'000'000;
  Router router(s, 7, now);
  std::vector<Action> actions;
  EndpointList list;
  for (ReplicaId i = 0; i < replicas; ++i) {
    Endpoint e;
    e.id = i;
    list.endpoints.push_back(e);
  }
  router.Handle(now, list, actions);
  struct Out {
    RequestId id;
    ReplicaId replica;
  };
  std::deque<Out> out;
  RequestId id = 0;
  const auto arrive = [&] {
    RequestArrived a;
    a.id = ++id;
    a.time_budget = 10'000'000;
    a.prompt_tokens = 700;
    a.max_answer_tokens = 200;
    a.prefix = 1 + id % 64;
    a.prefix_tokens = 300;
    a.session = 1'000'000 + id / 3;
    actions.clear();
    router.Handle(now, a, actions);
    for (const Action& x : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&x)) out.push_back({send->id, send->replica});
    }
  };
  const auto end = [&] {
    const Out o = out.front();
    out.pop_front();
    actions.clear();
    router.Handle(now, ResponseStarted{o.id, 0, o.replica, 100'000}, actions);
    router.Handle(now, AttemptEnded{o.id, 0, o.replica, Outcome::kServed, 600'000, true, 0, {2}}, actions);
    for (const Action& x : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&x)) out.push_back({send->id, send->replica});
    }
  };
  // This node's part of two requests a replica.
  const std::size_t wanted = std::max<std::size_t>(1, 2 * replicas / static_cast<std::size_t>(s.node_count));
  for (std::size_t n = 0; n < 20 * wanted && out.size() < wanted; ++n) {
    now += 1000;
    arrive();
  }
  const Time step = std::max<Time>(1, 600'000 / static_cast<Time>(wanted));
  for (auto _ : state) {
    now += step;
    arrive();
    if (out.size() >= wanted || router.queued_requests() > 8) end();
  }
  state.counters["held"] = static_cast<double>(router.queued_requests());
  state.counters["kB"] = static_cast<double>(mallinfo2().uordblks - before) / 1000;
}
BENCHMARK(OneRequest)
    ->ArgsProduct({{10, 100, 500, 1000, 2000, 5000}, {1, 16, 64}})
    ->Unit(benchmark::kMicrosecond)
    ->MinTime(0.2);

}  // namespace
}  // namespace ryeglade::policy

BENCHMARK_MAIN();
