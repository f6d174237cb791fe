// ryeglade-lab: stand-ins on loopback, a demonstration, and replays through the node's fronts and dialects.
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

// The node lies beside this program, unless told otherwise.
std::string NodeProgram(const std::string& told) {
  if (!told.empty()) return told;
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
    std::fprintf(stderr, "ryeglade-lab: the node ended by itself; it said:\n%s", fleet.node().Log().c_str());
    return 1;
  }
  return 0;
}

void Progress(std::size_t done, std::size_t all) {
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
      o.record.c_str(), r.victim.empty() ? "" : (", " + r.victim + " is the one that went bad").c_str(),
      o.record.c_str(), o.record.c_str());
  return r.exit_code == 0 && r.overlapping_attempts == 0 && r.answered == r.asked ? 0 : 1;
}

int ReplayOne(const std::vector<TraceLine>& trace, const std::string& program, const std::string& front,
              const std::string& dialect, const std::string& log) {
  const ReplayResult result = Replay(trace, {program, DialectOf(dialect), front == "openai", Progress});
  std::fputs(Table(trace, result).c_str(), stdout);
  if (!log.empty() && !(std::ofstream(log) << result.log).flush())
    throw std::runtime_error("cannot write " + log);
  return result.overlapping_attempts == 0 ? 0 : 1;
}

// All four pairs of front and dialect must come to the same for each request.
int Parity(const std::vector<TraceLine>& trace, const std::string& program) {
  std::vector<std::pair<std::string, ReplayResult>> all;
  for (const char* front : {"platform", "openai"}) {
    for (const char* dialect : {"platform", "openai"}) {
      const std::string name = std::string(front) + " front, " + dialect + " dialect";
      std::fprintf(stderr, "%s\n", name.c_str());
      all.emplace_back(
          name, Replay(trace, {program, DialectOf(dialect), std::string(front) == "openai", Progress}));
      std::printf("%s\n%s\n", name.c_str(), Table(trace, all.back().second).c_str());
    }
  }
  std::size_t differing = 0, overlaps = 0;
  for (const auto& [name, result] : all) {
    overlaps += result.overlapping_attempts;
    for (std::size_t n = 0; n < trace.size(); ++n) {
      if (result.ends[n] == all.front().second.ends[n]) continue;
      if (++differing <= 10) {
        std::printf("differs: line %zu (%s): %s at first, %s with %s\n", n + 1, Name(trace[n].fault),
                    Name(all.front().second.ends[n]), Name(result.ends[n]), name.c_str());
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
  CLI::App app("Stand-ins, demonstrations and experiments for ryeglade, on loopback.");
  app.require_subcommand(1);
  std::string program, key = "demo", path, front = "openai", dialect = "openai", log;
  int port = 8080;
  std::size_t requests = 2000;
  std::uint64_t seed = 1;
  double rate = 250;
  app.add_option("--program", program, "the node's program; else `ryeglade` beside this one");

  CLI::App* demo = app.add_subcommand("demo", "a node, discovery and three stand-in replicas, until Ctrl-C");
  demo->add_option("--port", port, "where the node serves the API")->check(CLI::Range(0, 65535));
  demo->add_option("--key", key, "the key that clients show");
  LiveFaultScenarioOptions bad;
  demo->add_option("--bad-hour", bad.name, "play one instead: a scripted failure under load, recorded")
      ->check(CLI::IsMember(LiveFaultScenarioNames()));
  demo->add_option("--record", bad.record, "the directory for its flight record");
  demo->add_option("--seconds", bad.seconds, "how long it takes")->check(CLI::Range(6.0, 3600.0));
  demo->add_option("--rate", bad.requests_per_second, "requests a second")->check(CLI::Range(1.0, 1000.0));
  demo->add_option("--replicas", bad.replicas)->check(CLI::Range(std::size_t{2}, std::size_t{64}));

  FaultScenarioOptions hour;
  std::string fault = "none", out;
  double ahead = 0;
  CLI::App* hours = app.add_subcommand("hour", "write the flight record of a scripted hour in virtual time");
  hours->add_option("--thing", fault,
                    "what goes wrong: errors, slow, full, cut-off, loaded, fleet-slow, ...");
  hours->add_option("--out", out, "the .flight file")->required();
  hours->add_option("--seconds", hour.seconds)->check(CLI::Range(1.0, 1e6));
  hours->add_option("--at", hour.fault_at, "when it goes wrong, seconds");
  hours->add_option("--lasts", hour.fault_seconds, "for how long");
  hours->add_option("--replicas", hour.replicas)->check(CLI::Range(1, 4096));
  hours->add_option("--per-second", hour.requests_per_second, "requests")->check(CLI::Range(0.1, 1e5));
  hours->add_option("--seed", hour.seed);
  hours->add_option("--node", hour.node, "its name");
  hours->add_option("--ahead", ahead, "seconds that its clock is ahead");
  int each = 100, calm = 100;
  CLI::App* detection =
      app.add_subcommand("detection", "how soon bad things are noticed, and what is noticed for nothing");
  detection->add_option("--each", each, "hours with each bad thing")->check(CLI::Range(1, 10'000));
  detection->add_option("--calm", calm, "calm hours")->check(CLI::Range(1, 10'000));

  CLI::App* trace = app.add_subcommand("trace", "write a trace to standard output");
  trace->add_option("--requests", requests)->check(CLI::Range(std::size_t{1}, std::size_t{1'000'000}));
  trace->add_option("--seed", seed);
  trace->add_option("--rate", rate, "requests a second")->check(CLI::Range(0.1, 1e5));

  CLI::App* replay = app.add_subcommand("replay", "play a trace through one front and one dialect");
  replay->add_option("trace", path)->required();
  replay->add_option("--front", front)->check(CLI::IsMember({"platform", "openai"}));
  replay->add_option("--dialect", dialect)->check(CLI::IsMember({"platform", "openai"}));

  replay->add_option("--log", log, "where to put what the node logged");

  CLI::App* parity =
      app.add_subcommand("parity", "play a trace through all four pairs and compare each request's end");
  parity->add_option("trace", path, "absent: one is made");
  parity->add_option("--requests", requests)->check(CLI::Range(std::size_t{1}, std::size_t{1'000'000}));
  parity->add_option("--seed", seed);
  parity->add_option("--rate", rate, "requests a second")->check(CLI::Range(0.1, 1e5));

  ryeglade::emulator::Commands emulated(app, ryeglade::experiment::CompareFiles);
  ryeglade::experiment::Commands experiments(app);
  ryeglade::load::Commands loads(app);
  ryeglade::cluster::Commands clusters(app);
  ryeglade::rollout_lab::Commands rollouts(app);
  ryeglade::soak::Commands soaks(app);

  CLI11_PARSE(app, argc, argv);
  if (emulated.chosen()) return emulated.Run();
  if (experiments.chosen()) return experiments.Run();
  if (loads.chosen()) return loads.Run(NodeProgram(program));
  if (rollouts.chosen()) return rollouts.Run(NodeProgram(program));
  if (soaks.chosen()) return soaks.Run(NodeProgram(program));
  if (clusters.chosen()) return clusters.Run(NodeProgram(program));
  const auto lines = [&] {
    return path.empty() ? MakeTrace(requests, seed, rate) : ReadTrace(ReadFile(path));
  };
  const bool with_node = !*hours && !*detection;
  const std::string node = with_node ? NodeProgram(program) : "";
  if (*hours) {
    hour.fault = ParseScriptedFault(fault);
    hour.clock_offset = static_cast<Time>(ahead * 1e6);
    const FaultScenarioResult r = WriteFaultScenario(hour, out, ProgressLine());
    std::printf("%s: %llu requests, %llu decisions\n", out.c_str(),
                static_cast<unsigned long long>(r.requests), static_cast<unsigned long long>(r.decisions));
    return 0;
  }
  if (*detection) {
    const auto bar = ProgressLine();
    std::fputs(DetectionTable(MeasureDetection(each, calm,
                                               [&](int done, int of) {
                                                 if (bar) bar(static_cast<double>(done) / of);
                                               }))
                   .c_str(),
               stdout);
    return 0;
  }
  if (*demo && !bad.name.empty()) {
    if (bad.record.empty()) throw std::runtime_error("--bad-hour needs --record DIRECTORY");
    std::filesystem::create_directories(bad.record);
    bad.program = node;
    bad.progress = ProgressLine();
    return RunLiveFaultScenario(bad);
  }
  if (*demo) return Demo(node, port, key);
  if (*trace) return std::fputs(WriteTrace(MakeTrace(requests, seed, rate)).c_str(), stdout) < 0 ? 1 : 0;
  if (*replay) return ReplayOne(lines(), node, front, dialect, log);
  return Parity(lines(), node);
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
