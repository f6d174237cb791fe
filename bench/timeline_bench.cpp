// Measures the cost of the replica timeline: a node that records it against one that does not, alternating in
// one run; how much it writes per request; and how fast a long record is read.
#include <benchmark/benchmark.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <filesystem>
#include <map>
#include <memory>
#include <string>

#include "bench/measure.h"
#include "lab/fault_scenarios.h"

namespace ryeglade::lab {
namespace {

namespace fs = std::filesystem;

// First argument: 0 if no attempt fails, 1 if all fail. Second: 1 if the reasons of decisions are recorded.
// Requests are sent as fast as possible, at most eight open at a time.
void Recorder(benchmark::State& state) {
  const bool failing = state.range(0) != 0;
  const std::string extra_settings = std::string("[timeline]\ndirectory = \"@DIR@\"\nreasons = ") +
                                     (state.range(1) != 0 ? "true\n" : "false\n");
  constexpr std::size_t requests = 400, rounds = 60;
  constexpr std::size_t kTokens = 16;
  std::map<bool, std::unique_ptr<LocalFleet>> fleets;
  for (const bool on : {false, true}) {
    fleets[on] = MakeFleet(ReplicaDialect::kPlatform, kTokens, on ? extra_settings : "",
                           failing ? Fault::kError : Fault::kNone, 8);
  }
  std::map<bool, Cpu> total;
  std::map<bool, std::vector<double>> ms;
  // Ratios of runs with and without the timeline, one per pair, as a drift of the machine's speed affects
  // both.
  std::vector<double> loop_ratios, all_ratios;
  for (auto _ : state) {
    for (const bool on : {false, true})
      SendRequests(*fleets[on], false, requests / 2, 1024, kTokens, failing);
    for (std::size_t round = 0; round < rounds; ++round) {
      std::map<bool, Cpu> now;
      for (const bool on : {round % 2 == 0, round % 2 != 0}) {
        const SendResult s = SendRequests(*fleets[on], false, requests, 1024, kTokens, failing);
        now[on] = s.cpu;
        total[on].loop += s.cpu.loop / static_cast<double>(rounds);
        total[on].all += s.cpu.all / static_cast<double>(rounds);
        ms[on].insert(ms[on].end(), s.response_ms.begin(), s.response_ms.end());
      }
      loop_ratios.push_back(now[true].loop / now[false].loop);
      all_ratios.push_back(now[true].all / now[false].all);
    }
  }
  fleets[true]->Until([] { return false; }, 1'500'000);
  std::uintmax_t disk = 0;
  for (const auto& e : fs::directory_iterator(fleets[true]->node().directory())) {
    if (e.path().extension() == ".flight") disk += e.file_size();
  }
  state.counters["loop_off_us"] = total[false].loop * 1e6;
  state.counters["loop_on_us"] = total[true].loop * 1e6;
  state.counters["loop_ratio"] = Quantile(loop_ratios, 0.5);
  state.counters["process_ratio"] = Quantile(all_ratios, 0.5);
  state.counters["p99_off_ms"] = Quantile(ms[false], 0.99);
  state.counters["p99_on_ms"] = Quantile(ms[true], 0.99);
  state.counters["p99_ratio"] = Quantile(ms[true], 0.99) / Quantile(ms[false], 0.99);
  state.counters["disk_bytes_per_request"] =
      static_cast<double>(disk) / ((static_cast<double>(rounds) + 0.5) * static_cast<double>(requests));
}
BENCHMARK(Recorder)->ArgsProduct({{0, 1}, {0, 1}})->Iterations(1)->Unit(benchmark::kSecond);

struct ProcessResult {
  double seconds = 0, rss_mb = 0;  // elapsed time, and peak resident memory in MiB
  int status = 0;                  // as wait4 gives it; 0: it exited with status 0
};

// Runs a program, found through PATH, without its standard output, and waits for its end.
ProcessResult RunWithoutOutput(const std::vector<std::string>& words) {
  std::vector<char*> argv;
  for (const std::string& w : words) argv.push_back(const_cast<char*>(w.c_str()));
  argv.push_back(nullptr);
  const Time before = Now();
  const pid_t pid = fork();
  if (pid == 0) {
    if (std::freopen("/dev/null", "w", stdout) == nullptr) _exit(126);
    execvp(argv[0], argv.data());
    _exit(127);
  }
  int status = 0;
  struct rusage usage {};
  wait4(pid, &status, 0, &usage);
  return {static_cast<double>(Now() - before) / 1e6, static_cast<double>(usage.ru_maxrss) / 1024, status};
}

// Time and memory for reading a file of ten million records, compared with `zstd -d` of the same bytes as one
// stream.
void Reading(benchmark::State& state) {
  const fs::path directory = fs::temp_directory_path() / ("ryeglade-reading-" + std::to_string(getpid()));
  fs::create_directories(directory);
  FaultScenarioOptions o;
  o.seconds = static_cast<double>(state.range(0)) * 60;
  o.replicas = 24;
  o.requests_per_second = 400;
  o.record_reasons = true;
  std::uint64_t records = 0;
  const std::string file = (directory / "long-1.flight").string(), plain = (directory / "raw").string();
  for (auto _ : state) {
    WriteFaultScenario(o, file);
    {
      std::ofstream raw(plain, std::ios::binary);
      std::string out;
      PlayFaultScenario(o, [&](const timeline::Record& r) {
        ++records;
        timeline::EncodeRecord(r, out);
        if (out.size() > 1 << 20) {
          raw << out;
          out.clear();
        }
      });
      raw << out;
    }
    RunWithoutOutput({"zstd", "-q", "-1", "-f", plain, "-o", plain + ".zst"});
    const ProcessResult unpacked =
        RunWithoutOutput({"zstd", "-q", "-d", "-f", plain + ".zst", "-o", "/dev/null"});
    state.counters["zstd_s"] = unpacked.seconds;
    for (const std::string word : {"verify", "show", "events"}) {
      const ProcessResult ran = RunWithoutOutput({Program(), "timeline", word, file});
      if (ran.status != 0) std::abort();
      state.counters[word + "_s"] = ran.seconds;
      state.counters[word + "_mb"] = ran.rss_mb;
    }
  }
  state.counters["records"] = static_cast<double>(records);
  state.counters["file_mb"] = static_cast<double>(fs::file_size(file)) / 1e6;
  state.counters["bytes_a_record"] = static_cast<double>(fs::file_size(file)) / static_cast<double>(records);
  fs::remove_all(directory);
}
BENCHMARK(Reading)->Arg(60)->Iterations(1)->Unit(benchmark::kSecond);

}  // namespace
}  // namespace ryeglade::lab

BENCHMARK_MAIN();
