#include "lab/soak/command.h"

#include <fmt/format.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <CLI/CLI.hpp>
#include <charconv>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <map>
#include <stdexcept>

#include "lab/soak/checker_model.h"
#include "lab/soak/plan.h"
#include "lab/soak/run.h"
#include "lab/soak/shrink.h"

namespace ryeglade::soak {
namespace {

constexpr std::size_t kMaxEvidencePages = 12;  // for one play
constexpr int kExitRuleBroken = 1, kExitNotPlayed = 2;

volatile sig_atomic_t interrupted = 0;

void InstallSignalHandlers() {
  for (const int number : {SIGINT, SIGTERM}) {
    struct sigaction act {};
    act.sa_handler = [](int) { interrupted = 1; };
    sigaction(number, &act, nullptr);
  }
}

std::string ReadFile(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw std::runtime_error("soak: cannot read " + path);
  return {std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
}

void WriteFile(const std::string& path, const std::string& text) {
  if (!(std::ofstream(path, std::ios::binary) << text).flush())
    throw std::runtime_error("soak: cannot write " + path);
}

std::uint64_t ParseSeed(std::string_view text) {
  std::uint64_t n = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), n);
  if (error != std::errc() || end != text.data() + text.size()) {
    throw std::runtime_error(
        fmt::format("soak: --seeds takes a number or a range such as 1-50, not '{}'", text));
  }
  return n;
}

std::vector<std::uint64_t> ParseSeeds(const std::string& text) {
  const std::size_t dash = text.find('-');
  const std::uint64_t first = ParseSeed(std::string_view(text).substr(0, dash));
  const std::uint64_t last =
      dash == std::string::npos ? first : ParseSeed(std::string_view(text).substr(dash + 1));
  if (last < first || last - first >= 10'000)
    throw std::runtime_error("soak: --seeds takes a range of at most 10000 seeds, lowest first");
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = first; seed <= last; ++seed) seeds.push_back(seed);
  return seeds;
}

std::string FormatRow(const Plan& plan, const Verdict& v) {
  std::string broken;
  for (std::size_t n = 0; n < static_cast<std::size_t>(Rule::kCount); ++n) {
    const auto rule = static_cast<Rule>(n);
    if (v.Count(rule) > 0) broken += fmt::format(" {}={}", Name(rule), v.Count(rule));
  }
  std::size_t unknown = 0;
  for (const auto& [why, ids] : v.unknown) unknown += ids.size();
  return fmt::format("{:>6} {:>5} {:>8} {:>8} {:>8} {:>7} {:>8} {:>8} {:>7} {:>6} {:>6} |{}\n", plan.seed,
                     plan.nodes, plan.replicas.size(), v.requests, v.served, v.refused, v.failed, v.attempts,
                     unknown, v.ended, v.killed, broken.empty() ? " -" : broken);
}

void PrintHeader() {
  std::printf("%6s %5s %8s %8s %8s %7s %8s %8s %7s %6s %6s | rules broken\n", "seed", "nodes", "replicas",
              "requests", "served", "refused", "failed", "attempts", "unknown", "ended", "killed");
  std::fflush(stdout);
}

// Writes the files of one play, named after its seed.
void WriteReport(const std::string& directory, const Plan& plan, const PlayResult& played, const Verdict& v) {
  std::filesystem::create_directories(directory);
  const std::string stem = fmt::format("{}/seed-{}", directory, plan.seed);
  WriteFile(stem + ".plan.json", PlanToJson(plan));
  std::string unknown;
  for (const auto& [why, ids] : v.unknown) {
    unknown += fmt::format("{:>6} {}: {}\n", ids.size(), why, fmt::join(ids, " "));
  }
  WriteFile(stem + ".unknown.txt", unknown);
  for (std::size_t n = 0; n < std::min(v.violations.size(), kMaxEvidencePages); ++n) {
    WriteFile(fmt::format("{}.{}-{}.txt", stem, n + 1, Name(v.violations[n].rule)),
              Evidence(played, v.violations[n]));
  }
  if (v.violations.empty()) return;
  for (std::size_t n = 0; n < played.logs.size(); ++n) {
    WriteFile(fmt::format("{}.n{}-process-{}.log", stem, played.history.processes[n].node, n),
              played.logs[n]);
  }
}

// Returns a violation record for a request that was not judged, so that Evidence can show it.
Violation UnjudgedRequest(const PlayResult& played, const std::string& id) {
  Violation shown;
  shown.id = id;
  shown.what = "not judged";
  for (const ClientRequest& r : played.history.requests) {
    if (r.id != id) continue;
    shown.node = r.node;
    shown.at = r.ended == 0 ? r.sent : r.ended;
  }
  return shown;
}

// Plays one plan in this process and prints its row to standard output.
int PlayOne(const Plan& plan, const PlayOptions& options, const std::string& report, bool pages) {
  const PlayResult played = Play(plan, options);
  const Verdict v = CheckHistory(played.history);
  std::fputs(FormatRow(plan, v).c_str(), stdout);
  if (!report.empty()) WriteReport(report, plan, played, v);
  if (pages) {
    for (const auto& [why, ids] : v.unknown) {
      std::printf("\n%zu not judged: %s; the first of them\n%s", ids.size(), why.c_str(),
                  Evidence(played, UnjudgedRequest(played, ids.front())).c_str());
    }
    for (const Violation& b : v.violations) std::printf("\n%s", Evidence(played, b).c_str());
  }
  std::fflush(stdout);
  return v.violations.empty() ? 0 : kExitRuleBroken;
}

// Runs each play in its own process, so that a play that crashes does not end the others.
class JobPool {
 public:
  explicit JobPool(std::size_t max_jobs) : max_jobs_(max_jobs) {}

  template <class Work>
  void Add(std::uint64_t seed, Work work) {
    while (running_.size() >= max_jobs_) WaitForOne();
    const pid_t pid = fork();
    if (pid < 0) throw std::runtime_error("soak: cannot fork a process for a play");
    if (pid == 0) {
      prctl(PR_SET_PDEATHSIG, SIGTERM);
      int code = kExitNotPlayed;
      try {
        code = work();
      } catch (const std::exception& e) {
        std::fprintf(stderr, "ryeglade-lab: seed %llu: %s\n", static_cast<unsigned long long>(seed),
                     e.what());
      }
      std::fflush(nullptr);
      _exit(code);
    }
    running_[pid] = seed;
  }

  void WaitForAll() {
    while (!running_.empty()) WaitForOne();
  }
  std::size_t broken = 0, not_played = 0;  // plays that broke a rule; plays that did not finish

 private:
  void WaitForOne() {
    int status = 0;
    const pid_t pid = waitpid(-1, &status, 0);
    if (pid < 0) {
      if (errno == EINTR) {
        for (const auto& [child, seed] : running_) kill(child, SIGTERM);
      }
      return;
    }
    if (running_.erase(pid) == 0) return;
    const int code = WIFEXITED(status) ? WEXITSTATUS(status) : kExitNotPlayed;
    if (code == kExitRuleBroken) ++broken;
    if (code > kExitRuleBroken) ++not_played;
  }

  std::size_t max_jobs_;
  std::map<pid_t, std::uint64_t> running_;
};

}  // namespace

Commands::Commands(CLI::App& app) {
  soak_ = app.add_subcommand(
      "soak",
      "run real processes under faults drawn from seeds and check them against the rules of the pages");
  soak_->add_option("--seeds", seeds_, "a seed, or a range such as 1-50");
  soak_->add_option("--seconds", seconds_, "length of each play's fault schedule")
      ->check(CLI::Range(8.0, 3600.0));
  soak_->add_option("--jobs", jobs_, "plays to run at the same time")
      ->check(CLI::Range(std::size_t{1}, std::size_t{16}));
  soak_->add_option("--report", report_, "directory for each play's plan, evidence and logs");
  soak_->add_flag("--replay", replay_, "print the evidence of every violation");
  soak_->add_option("--without", excluded_faults_, "faults to leave out, by their names in a plan")
      ->delimiter(',');
  soak_->add_option("--plan", plan_, "play this plan instead of one drawn from a seed");
  soak_->add_option("--write-plan", write_plan_,
                    "write the plan of the first seed to a file and play nothing");
  soak_->add_option("--preload", preload_, "library to preload into the nodes' processes");
  soak_->add_flag("--shrink", shrink_,
                  "find a smaller set of faults of --plan that still breaks the first rule it broke");
  soak_->add_option("--most-plays", most_plays_, "maximum number of plays for --shrink")
      ->check(CLI::Range(std::size_t{1}, std::size_t{1000}));
}

bool Commands::chosen() const { return soak_->parsed(); }

int Commands::Run(const std::string& node_program) {
  const std::vector<std::uint64_t> seeds = ParseSeeds(seeds_);
  const auto length = static_cast<Time>(seconds_ * 1e6);
  if (!write_plan_.empty()) {
    WriteFile(write_plan_, PlanToJson(MakePlan(seeds.front(), length)));
    return 0;
  }
  InstallSignalHandlers();
  if (!plan_.empty()) return PlayPlanFile(node_program);
  PlayOptions options;
  options.program = node_program;
  options.preload = preload_;
  options.interrupted = [] { return interrupted != 0; };
  for (const std::string& word : excluded_faults_) options.excluded_faults.insert(ParseFaultKind(word));
  PrintHeader();
  JobPool jobs(jobs_);
  for (const std::uint64_t seed : seeds) {
    if (interrupted != 0) break;
    jobs.Add(seed, [&, seed] { return PlayOne(MakePlan(seed, length), options, report_, replay_); });
  }
  jobs.WaitForAll();
  std::printf("%zu seeds, %zu with a rule broken, %zu not played to the end\n", seeds.size(), jobs.broken,
              jobs.not_played);
  return jobs.broken == 0 && jobs.not_played == 0 && interrupted == 0 ? 0 : 1;
}

int Commands::PlayPlanFile(const std::string& node_program) {
  Plan plan = ParsePlan(ReadFile(plan_));
  PlayOptions options;
  options.program = node_program;
  options.preload = preload_;
  options.interrupted = [] { return interrupted != 0; };
  for (const std::string& word : excluded_faults_) options.excluded_faults.insert(ParseFaultKind(word));
  if (shrink_) {
    const ShrinkResult shrunk = Shrink(plan, options, most_plays_);
    std::printf("%zu of %zu faults still break rule %s, after %zu plays\n", shrunk.plan.faults.size(),
                plan.faults.size(), Name(shrunk.rule), shrunk.plays);
    if (!report_.empty()) {
      std::filesystem::create_directories(report_);
      WriteFile(fmt::format("{}/seed-{}.shrunk.json", report_, plan.seed), PlanToJson(shrunk.plan));
    }
    return 0;
  }
  PrintHeader();
  return PlayOne(plan, options, report_, replay_);
}

}  // namespace ryeglade::soak
