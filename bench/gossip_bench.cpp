// Measures the cost of gossip for one node and the age of the information that it has, at 16, 100 and 300
// nodes.
#include <benchmark/benchmark.h>

#include "lab/emulator/gossip_simulation.h"

namespace {

void GossipCost(benchmark::State& state) {
  ryeglade::emulator::GossipSimulationSpec spec;
  spec.nodes = static_cast<std::size_t>(state.range(0));
  spec.loss = static_cast<double>(state.range(1)) / 100;
  for (auto _ : state) {
    const auto r = ryeglade::emulator::RunGossipSimulation(spec);
    state.counters["bytes_a_second"] = r.bytes;
    state.counters["messages_a_second"] = r.messages;
    state.counters["core_percent"] = 100 * r.cpu_share;
    state.counters["age_p50_s"] = r.age_p50;
    state.counters["age_p99_s"] = r.age_p99;
    state.counters["alone_p50_s"] = r.ejection_p50;
    state.counters["alone_last_s"] = r.ejection_last;
    ++spec.seed;
  }
  state.SetLabel("400 replicas, 5 of them failing; nodes, loss in percent");
}
BENCHMARK(GossipCost)
    ->Args({16, 0})
    ->Args({100, 0})
    ->Args({100, 30})
    ->Args({300, 0})
    ->Args({300, 30})
    ->Iterations(1)
    ->Unit(benchmark::kMillisecond);

}  // namespace
BENCHMARK_MAIN();
