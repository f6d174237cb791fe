// Measures the CPU time that a request costs the node through each front and dialect, and how much later the
// first token arrives through the node than directly from the replica. CPU ratios compare with the platform's
// front in the same run. The node is a separate process, whose CPU time the kernel counts.
#include <benchmark/benchmark.h>
#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <sstream>
#include <string>
#include <vector>

#include "bench/measure.h"
#include "lab/local_fleet.h"
#include "openai/strict_json.h"

namespace ryeglade::lab {
namespace {

constexpr int kRounds = 8;

// Arguments: bytes of the request body, tokens of the answer, requests per round. With 16 tokens it measures
// the cost of a request, with many the cost of streamed bytes.
void Fronts(benchmark::State& state) {
  const std::size_t body = static_cast<std::size_t>(state.range(0)),
                    tokens = static_cast<std::size_t>(state.range(1));
  const std::size_t requests = static_cast<std::size_t>(state.range(2));
  std::map<std::string, double> total;
  std::map<std::string, std::size_t> bytes;
  for (auto _ : state) {
    for (const ReplicaDialect replica_dialect : {ReplicaDialect::kPlatform, ReplicaDialect::kOpenAi}) {
      const auto fleet = MakeFleet(replica_dialect, tokens);
      const std::string dialect = replica_dialect == ReplicaDialect::kPlatform ? "platform" : "openai";
      for (const bool openai : {false, true}) SendRequests(*fleet, openai, requests / 4, body, tokens);
      // The fronts alternate, so that a drift of the machine's speed affects both.
      for (int round = 0; round < kRounds; ++round) {
        for (const bool openai : {false, true}) {
          const std::string name =
              std::string(openai ? "openai" : "platform") + "_front_" + dialect + "_dialect";
          const SendResult result = SendRequests(*fleet, openai, requests, body, tokens);
          total[name] += result.cpu.all / kRounds;
          bytes[name] += result.bytes;
        }
      }
    }
  }
  const auto n = static_cast<double>(state.iterations());
  for (const auto& [name, seconds] : total) {
    state.counters[name + "_us"] = seconds / n * 1e6;
    state.counters[name + "_kB"] =
        static_cast<double>(bytes[name]) / n / kRounds / static_cast<double>(requests) / 1000;
  }
  state.counters["ratio_platform_dialect"] =
      total["openai_front_platform_dialect"] / total["platform_front_platform_dialect"];
  state.counters["ratio_openai_dialect"] =
      total["openai_front_openai_dialect"] / total["platform_front_openai_dialect"];
}
BENCHMARK(Fronts)->Args({4096, 16, 1000})->Args({4096, 20'000, 20})->Iterations(1)->Unit(benchmark::kSecond);

// Time to the first byte of a response, alternating between a request through the node and one directly to a
// replica.
void FirstToken(benchmark::State& state) {
  const auto fleet = MakeFleet(ReplicaDialect::kOpenAi, 8);
  FakeReplica direct_replica(fleet->runtime(), &fleet->attempt_counts(),
                             {.first_token = 0, .per_token = 0, .tokens = 8});
  const std::string direct_address = direct_replica.Listen();
  std::vector<double> via_node_ms, direct_ms;
  for (auto _ : state) {
    for (std::size_t n = 0; n < 2000; ++n) {
      const Reply a = fleet->SendAndWait(fleet->openai(), Request(true, n, 1024, 8)),
                  b = fleet->SendAndWait(direct_address, Request(true, n, 1024, 8));
      via_node_ms.push_back(static_cast<double>(a.first_byte - a.started) / 1000);
      direct_ms.push_back(static_cast<double>(b.first_byte - b.started) / 1000);
    }
  }
  const auto quantile = [](std::vector<double>& v, double q) {
    std::sort(v.begin(), v.end());
    return v[static_cast<std::size_t>(q * static_cast<double>(v.size() - 1))];
  };
  state.counters["through_p50_ms"] = quantile(via_node_ms, 0.5);
  state.counters["through_p99_ms"] = quantile(via_node_ms, 0.99);
  state.counters["straight_p50_ms"] = quantile(direct_ms, 0.5);
  state.counters["straight_p99_ms"] = quantile(direct_ms, 0.99);
  direct_replica.Close();
}
BENCHMARK(FirstToken)->Iterations(1)->Unit(benchmark::kSecond);

// Response time of clients with a valid key, without other load and while a thousand connections keep sending
// an invalid one.
void BadKeys(benchmark::State& state) {
  const auto fleet = MakeFleet(ReplicaDialect::kOpenAi, 8);
  const std::string bad =
      Post("/v1/chat/completions",
           "Authorization: Bearer rg-00000000-" + std::string(64, '0') + "\r\nConnection: close\r\n", "{}");
  const auto good = [&](std::size_t n) {
    const Reply r = fleet->SendAndWait(fleet->openai(), Request(true, n, 1024, 8));
    if (r.status != 200) std::abort();
    return static_cast<double>(r.ended - r.started) / 1000;
  };
  std::vector<double> calm, flooded;
  std::size_t answered = 0, open = 0;
  bool flooding = false;
  std::function<void()> send_bad = [&] {
    ++open;
    fleet->client().Send(fleet->openai(), bad, 30'000'000, [&](const Reply& r) {
      --open;
      if (r.status == 401) ++answered;
      if (flooding) send_bad();
    });
  };
  for (auto _ : state) {
    for (std::size_t n = 0; n < 300; ++n) calm.push_back(good(n));
    flooding = true;
    for (int i = 0; i < 1000; ++i) send_bad();
    for (std::size_t n = 0; n < 300; ++n) flooded.push_back(good(n));
    flooding = false;
    fleet->Until([&] { return open == 0; }, 60'000'000);
  }
  const auto median = [](std::vector<double>& v) {
    std::sort(v.begin(), v.end());
    return v[v.size() / 2];
  };
  state.counters["calm_p50_ms"] = median(calm);
  state.counters["flooded_p50_ms"] = median(flooded);
  state.counters["bad_keys_answered"] = static_cast<double>(answered);
}
BENCHMARK(BadKeys)->Iterations(1)->Unit(benchmark::kSecond);

}  // namespace
}  // namespace ryeglade::lab

BENCHMARK_MAIN();
