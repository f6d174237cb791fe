// ryeglade-lab: a demonstration on loopback, fault scenarios, replays through the node's fronts and dialects,
// and the commands of the other parts of the lab.
#include <signal.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <cstdio>
#include <exception>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iterator>
#include <string>
#include <utility>
#include <vector>

#include "lab/cluster/command.h"
#include "lab/emulator/command.h"
#include "lab/experiment/command.h"
#include "lab/fault_scenarios.h"
#include "lab/live_fault_scenario.h"
#include "lab/load/command.h"
#include "lab/local_fleet.h"
#include "lab/progress.h"
#include "lab/replay.h"
#include "lab/rollout/command.h"
#include "lab/soak/command.h"

namespace {

using namespace ryeglade::lab;

volatile sig_atomic_t interrupted = 0;

// Returns the path of the node's program: the option if it is set, or `ryeglade` in the directory of this
// program.
std::string NodeProgram(const std::string& option) {
  if (!option.empty()) return option;
  std::error_code error;
  const std::filesystem::path self = std::filesystem::read_symlink("/proc/self/exe", error);
  return (self.parent_path() / "ryeglade").string();
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("cannot read " + path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

int Demo(const std::string& program, int port, const std::string& key) {
  for (const int number : {SIGINT, SIGTERM}) {
    struct sigaction act {};
    act.sa_handler = [](int) { interrupted = 1; };
    sigaction(number, &act, nullptr);
  }
  LocalFleetOptions options;
  options.program = program;
  options.openai_listen = "127.0.0.1:" + std::to_string(port);
  options.key = key;
  options.replicas.resize(3);
  LocalFleet fleet(options);
  std::printf("ready base_url=http://%s/v1 key=%s\n", fleet.openai().c_str(), key.c_str());
  std::fflush(stdout);
  while (interrupted == 0 && fleet.node().IsRunning()) {
    fleet.Until([] { return interrupted != 0; }, 200'000);
  }
  if (interrupted == 0) {
    std::fprintf(stderr, "ryeglade-lab: the node ended unexpectedly; its log:\n%s",
                 fleet.node().Log().c_str());
    return 1;
  }
  return 0;
}

void PrintProgress(std::size_t done, std::size_t all) {
  std::fprintf(stderr, "  %zu of %zu answered\n", done, all);
}

ReplicaDialect DialectOf(const std::string& word) {
  return word == "openai" ? ReplicaDialect::kOpenAi : ReplicaDialect::kPlatform;
}

int RunLiveFaultScenario(const LiveFaultScenarioOptions& o) {
  const LiveFaultScenarioResult r = PlayLiveFaultScenario(o);
  std::string statuses;
  for (const auto& [status, n] : r.statuses)
    statuses += " " + std::to_string(status) + "=" + std::to_string(n);
  std::printf("%s: %llu asked, %llu answered,%s, %llu broken, %llu overlapping attempts, node's exit %d\n",
              o.name.c_str(), static_cast<unsigned long long>(r.asked),
              static_cast<unsigned long long>(r.answered), statuses.c_str(),
              static_cast<unsigned long long>(r.broken),
              static_cast<unsigned long long>(r.overlapping_attempts), r.exit_code);
  std::printf(
      "recorded in %s%s; next:\n  ryeglade timeline show %s\n  ryeglade timeline plot --out hour.png %s\n",
      o.record.c_str(), r.victim.empty() ? "" : (", the fault was at " + r.victim).c_str(), o.record.c_str(),
      o.record.c_str());
  return r.exit_code == 0 && r.overlapping_attempts == 0 && r.answered == r.asked ? 0 : 1;
}

int ReplayOne(const std::vector<TraceLine>& trace, const std::string& program, const std::string& front,
              const std::string& dialect, const std::string& log) {
  const ReplayResult result = Replay(trace, {program, DialectOf(dialect), front == "openai", PrintProgress});
  std::fputs(Table(trace, result).c_str(), stdout);
  if (!log.empty() && !(std::ofstream(log) << result.log).flush())
    throw std::runtime_error("cannot write " + log);
  return result.overlapping_attempts == 0 ? 0 : 1;
}

// Replays the trace over all four combinations of front and dialect. Returns 0 if each request has the same
// outcome in all of them and no attempts overlapped.
int Parity(const std::vector<TraceLine>& trace, const std::string& program) {
  std::vector<std::pair<std::string, ReplayResult>> all;
  for (const char* front : {"platform", "openai"}) {
    for (const char* dialect : {"platform", "openai"}) {
      const std::string name = std::string(front) + " front, " + dialect + " dialect";
      std::fprintf(stderr, "%s\n", name.c_str());
      all.emplace_back(
          name, Replay(trace, {program, DialectOf(dialect), std::string(front) == "openai", PrintProgress}));
      std::printf("%s\n%s\n", name.c_str(), Table(trace, all.back().second).c_str());
    }
  }
  std::size_t differing = 0, overlaps = 0;
  for (const auto& [name, result] : all) {
    overlaps += result.overlapping_attempts;
    for (std::size_t n = 0; n < trace.size(); ++n) {
      if (result.ends[n] == all.front().second.ends[n]) continue;
      if (++differing <= 10) {
        std::printf("differs: line %zu (%s): %s with the platform front and dialect, %s with %s\n", n + 1,
                    Name(trace[n].fault), Name(all.front().second.ends[n]), Name(result.ends[n]),
                    name.c_str());
      }
    }
  }
  std::string worth;
  for (const auto& [name, result] : all)
    worth += (worth.empty() ? "" : ", ") + std::to_string(static_cast<long>(result.worth));
  std::printf("%zu requests, %zu differing outcomes, %zu overlapping attempts, worth %s\n", trace.size(),
              differing, overlaps, worth.c_str());
  return differing == 0 && overlaps == 0 ? 0 : 1;
}

int Run(int argc, char** argv) {
  CLI::App app("Demonstrations, simulations and experiments for ryeglade, on loopback.");
  app.require_subcommand(1);
  std::string program, key = "demo", path, front = "openai", dialect = "openai", log;
  int port = 8080;
  std::size_t requests = 2000;
  std::uint64_t seed = 1;
  double rate = 250;
  app.add_option("--program", program,
                 "path of the node's program; default: `ryeglade` in this program's directory");

  CLI::App* demo = app.add_subcommand("demo", "run a node, discovery and three fake replicas until Ctrl-C");
  demo->add_option("--port", port, "port of the node's API")->check(CLI::Range(0, 65535));
  demo->add_option("--key", key, "API key of the clients");
  LiveFaultScenarioOptions live_scenario;
  demo->add_option("--bad-hour", live_scenario.name, "play a fault scenario under load and record it instead")
      ->check(CLI::IsMember(LiveFaultScenarioNames()));
  demo->add_option("--record", live_scenario.record, "directory for the flight record");
  demo->add_option("--seconds", live_scenario.seconds, "length of the scenario")
      ->check(CLI::Range(6.0, 3600.0));
  demo->add_option("--rate", live_scenario.requests_per_second, "requests per second")
      ->check(CLI::Range(1.0, 1000.0));
  demo->add_option("--replicas", live_scenario.replicas, "number of fake replicas")
      ->check(CLI::Range(std::size_t{2}, std::size_t{64}));

  FaultScenarioOptions virtual_scenario;
  std::string fault = "none", out;
  double clock_ahead_seconds = 0;
  CLI::App* hour = app.add_subcommand("hour", "write the flight record of a fault scenario in virtual time");
  hour->add_option("--thing", fault,
                   "the fault: none, errors, slow, full, cut-off, loaded, fleet-slow, fleet-errors, dark, "
                   "replaced or drained");
  hour->add_option("--out", out, "path of the .flight file")->required();
  hour->add_option("--seconds", virtual_scenario.seconds, "length of the scenario")
      ->check(CLI::Range(1.0, 1e6));
  hour->add_option("--at", virtual_scenario.fault_at, "seconds until the fault begins");
  hour->add_option("--lasts", virtual_scenario.fault_seconds, "length of the fault in seconds");
  hour->add_option("--replicas", virtual_scenario.replicas, "number of simulated replicas")
      ->check(CLI::Range(1, 4096));
  hour->add_option("--per-second", virtual_scenario.requests_per_second, "requests per second")
      ->check(CLI::Range(0.1, 1e5));
  hour->add_option("--seed", virtual_scenario.seed);
  hour->add_option("--node", virtual_scenario.node, "name of the node");
  hour->add_option("--ahead", clock_ahead_seconds, "seconds that the node's clock is ahead");
  int scenarios_per_fault = 100, calm_hours = 100;
  CLI::App* detection =
      app.add_subcommand("detection", "measure how soon faults are detected, and count false alarms");
  detection->add_option("--each", scenarios_per_fault, "scenarios with each fault")
      ->check(CLI::Range(1, 10'000));
  detection->add_option("--calm", calm_hours, "hours without a fault")->check(CLI::Range(1, 10'000));

  CLI::App* trace = app.add_subcommand("trace", "write a trace to standard output");
  trace->add_option("--requests", requests)->check(CLI::Range(std::size_t{1}, std::size_t{1'000'000}));
  trace->add_option("--seed", seed);
  trace->add_option("--rate", rate, "requests per second")->check(CLI::Range(0.1, 1e5));

  CLI::App* replay = app.add_subcommand("replay", "replay a trace over one front and one dialect");
  replay->add_option("trace", path)->required();
  replay->add_option("--front", front)->check(CLI::IsMember({"platform", "openai"}));
  replay->add_option("--dialect", dialect)->check(CLI::IsMember({"platform", "openai"}));
  replay->add_option("--log", log, "file for the node's log");

  CLI::App* parity = app.add_subcommand(
      "parity", "replay a trace over all four combinations of front and dialect and compare the outcomes");
  parity->add_option("trace", path, "default: a generated trace");
  parity->add_option("--requests", requests)->check(CLI::Range(std::size_t{1}, std::size_t{1'000'000}));
  parity->add_option("--seed", seed);
  parity->add_option("--rate", rate, "requests per second")->check(CLI::Range(0.1, 1e5));

  ryeglade::emulator::Commands emulator_commands(app, ryeglade::experiment::CompareFiles);
  ryeglade::experiment::Commands experiment_commands(app);
  ryeglade::load::Commands load_commands(app);
  ryeglade::cluster::Commands cluster_commands(app);
  ryeglade::rollout_lab::Commands rollout_commands(app);
  ryeglade::soak::Commands soak_commands(app);

  CLI11_PARSE(app, argc, argv);
  if (emulator_commands.chosen()) return emulator_commands.Run();
  if (experiment_commands.chosen()) return experiment_commands.Run();
  if (load_commands.chosen()) return load_commands.Run(NodeProgram(program));
  if (rollout_commands.chosen()) return rollout_commands.Run(NodeProgram(program));
  if (soak_commands.chosen()) return soak_commands.Run(NodeProgram(program));
  if (cluster_commands.chosen()) return cluster_commands.Run(NodeProgram(program));
  const auto trace_lines = [&] {
    return path.empty() ? MakeTrace(requests, seed, rate) : ReadTrace(ReadFile(path));
  };
  const bool with_node = !*hour && !*detection;
  const std::string node = with_node ? NodeProgram(program) : "";
  if (*hour) {
    virtual_scenario.fault = ParseScriptedFault(fault);
    virtual_scenario.clock_offset = static_cast<Time>(clock_ahead_seconds * 1e6);
    const FaultScenarioResult r = WriteFaultScenario(virtual_scenario, out, ProgressLine());
    std::printf("%s: %llu requests, %llu decisions\n", out.c_str(),
                static_cast<unsigned long long>(r.requests), static_cast<unsigned long long>(r.decisions));
    return 0;
  }
  if (*detection) {
    const auto print_progress = ProgressLine();
    std::fputs(DetectionTable(MeasureDetection(scenarios_per_fault, calm_hours,
                                               [&](int done, int of) {
                                                 if (print_progress)
                                                   print_progress(static_cast<double>(done) / of);
                                               }))
                   .c_str(),
               stdout);
    return 0;
  }
  if (*demo && !live_scenario.name.empty()) {
    if (live_scenario.record.empty()) throw std::runtime_error("--bad-hour needs --record DIRECTORY");
    std::filesystem::create_directories(live_scenario.record);
    live_scenario.program = node;
    live_scenario.progress = ProgressLine();
    return RunLiveFaultScenario(live_scenario);
  }
  if (*demo) return Demo(node, port, key);
  if (*trace) return std::fputs(WriteTrace(MakeTrace(requests, seed, rate)).c_str(), stdout) < 0 ? 1 : 0;
  if (*replay) return ReplayOne(trace_lines(), node, front, dialect, log);
  return Parity(trace_lines(), node);
}

}  // namespace

int main(int argc, char** argv) {
  signal(SIGPIPE, SIG_IGN);
  try {
    return Run(argc, argv);
  } catch (const std::exception& e) {
    std::fprintf(stderr, "ryeglade-lab: %s\n", e.what());
    return 1;
  }
}
