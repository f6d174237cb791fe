// Measures the time that the decision module takes for one request (arrival, first token, end) by the size of
// the fleet and the number of nodes, with two requests in flight at each replica, and the memory that it
// holds. Run it before and after a change to the module to see the effect on its cost.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <deque>
#include <memory>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy {
namespace {

// Arguments: replicas, nodes.
void HandleOneRequest(benchmark::State& state) {
  const auto replicas = static_cast<ReplicaId>(state.range(0));
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 2'000'000;
  settings.classes[0].late_weight_share = 0.3;
  settings.classes[0].streaming = true;
  settings.node_count = static_cast<int>(state.range(1));
  settings.max_attempts = 3;
  settings.load_fields = {LoadField::kInFlight};
  settings.load_reports_in_responses = true;
  const std::size_t before = mallinfo2().uordblks;
  Time now = 1'000'000'000;
  Router router(settings, 7, now);
  std::vector<Action> actions;
  EndpointList list;
  for (ReplicaId i = 0; i < replicas; ++i) {
    Endpoint endpoint;
    endpoint.id = i;
    list.endpoints.push_back(endpoint);
  }
  router.Handle(now, list, actions);
  struct InFlight {
    RequestId id;
    ReplicaId replica;
  };
  std::deque<InFlight> in_flight;
  RequestId id = 0;
  const auto arrive = [&] {
    RequestArrived arrival;
    arrival.id = ++id;
    arrival.time_budget = 10'000'000;
    arrival.prompt_tokens = 700;
    arrival.max_answer_tokens = 200;
    arrival.prefix = 1 + id % 64;
    arrival.prefix_tokens = 300;
    arrival.session = 1'000'000 + id / 3;
    actions.clear();
    router.Handle(now, arrival, actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        in_flight.push_back({send->id, send->replica});
    }
  };
  const auto end_oldest = [&] {
    const InFlight attempt = in_flight.front();
    in_flight.pop_front();
    actions.clear();
    router.Handle(now, ResponseStarted{attempt.id, 0, attempt.replica, 100'000}, actions);
    router.Handle(now, AttemptEnded{attempt.id, 0, attempt.replica, Outcome::kServed, 600'000, true, 0, {2}},
                  actions);
    for (const Action& action : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&action))
        in_flight.push_back({send->id, send->replica});
    }
  };
  // This node's share of two requests in flight per replica.
  const std::size_t target_in_flight =
      std::max<std::size_t>(1, 2 * replicas / static_cast<std::size_t>(settings.node_count));
  for (std::size_t n = 0; n < 20 * target_in_flight && in_flight.size() < target_in_flight; ++n) {
    now += 1000;
    arrive();
  }
  const Time step = std::max<Time>(1, 600'000 / static_cast<Time>(target_in_flight));
  for (auto _ : state) {
    now += step;
    arrive();
    if (in_flight.size() >= target_in_flight || router.queued_requests() > 8) end_oldest();
  }
  state.counters["held"] = static_cast<double>(router.queued_requests());
  state.counters["kB"] = static_cast<double>(mallinfo2().uordblks - before) / 1000;
}
BENCHMARK(HandleOneRequest)
    ->ArgsProduct({{10, 100, 500, 1000, 2000, 5000}, {1, 16, 64}})
    ->Unit(benchmark::kMicrosecond)
    ->MinTime(0.2);

}  // namespace
}  // namespace ryeglade::policy

BENCHMARK_MAIN();
