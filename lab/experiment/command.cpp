#include "lab/experiment/command.h"

#include <fmt/format.h>
#include <signal.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <cstdio>
#include <cstring>
#include <filesystem>
#include <stdexcept>
#include <thread>

#include "base/file_io.h"
#include "base/gnuplot.h"
#include "lab/experiment/measures.h"
#include "lab/experiment/report.h"
#include "lab/experiment/run.h"
#include "lab/experiment/shrink.h"
#include "lab/progress.h"

namespace ryeglade::experiment {

using emulator::ScenarioResult;
using emulator::ScenarioSpec;

namespace {

volatile sig_atomic_t interrupted = 0;

void CatchSignals() {
  for (const int number : {SIGINT, SIGTERM}) {
    struct sigaction act {};
    act.sa_handler = [](int) { interrupted = 1; };
    act.sa_flags = static_cast<int>(SA_RESETHAND);  // a second signal ends the program at once
    sigaction(number, &act, nullptr);
  }
}

void WriteText(const std::string& path, const std::string& text) {
  const FileError fault = ReplaceFile(path, text, 0644);
  if (fault.error != 0)
    throw std::runtime_error(path + ": " + fault.what + ": " + std::strerror(fault.error));
}

const std::vector<std::pair<std::string, std::uint64_t emulator::RuleViolations::*>>& Rules() {
  static const std::vector<std::pair<std::string, std::uint64_t emulator::RuleViolations::*>> all = {
      {"no-answer", &emulator::RuleViolations::no_answer},
      {"two-answers", &emulator::RuleViolations::two_answers},
      {"two-attempts", &emulator::RuleViolations::two_attempts},
      {"after-drain", &emulator::RuleViolations::after_drain},
      {"cold-pushed", &emulator::RuleViolations::cold_pushed},
      {"not-made", &emulator::RuleViolations::not_made}};
  return all;
}

std::uint64_t ViolationsOf(const emulator::RuleViolations& violations, const std::string& rule) {
  if (rule == "any") return violations.all();
  for (const auto& [name, count] : Rules()) {
    if (name == rule) return violations.*count;
  }
  return 0;
}

}  // namespace

Commands::Commands(CLI::App& app) {
  run_ = app.add_subcommand("run",
                            "run the simulations of an experiment file in parallel and write a results file");
  run_->add_option("file", file_, "the experiment, TOML")->required();
  run_->add_option("--out", out_, "the results file; default: the experiment's name with .h5");
  run_->add_option("--workers", workers_, "simulations in parallel; 0: one for each core")
      ->check(CLI::Range(0, 256));
  run_->add_flag("--anew", rerun_, "also run the simulations again that the results file has");

  report_ = app.add_subcommand("report", "write tables and charts of a results file as Markdown");
  report_->add_option("results", file_)->required();
  report_->add_option("--out", out_, "the directory; default: the experiment's name");
  report_->add_flag("--png", png_, "write charts as PNG instead of SVG");

  shrink_ = app.add_subcommand("shrink", "find a smaller scenario that still fails in the same way");
  shrink_->add_option("file", file_, "the experiment, TOML")->required();
  shrink_->add_option("--out", out_, "the smaller scenario, as an experiment file")->required();
  shrink_->add_option("--cell", cell_, "index of the combination in the sweep, from 0");
  shrink_->add_option("--policy", policy_, "default: the first one");
  shrink_->add_option("--seed", seed_, "default: the first one");
  std::vector<std::string> rules{"any"};
  for (const auto& [name, count] : Rules()) rules.push_back(name);
  auto* breaks = shrink_->add_option("--breaks", rule_, "the failure is a violation of this rule")
                     ->check(CLI::IsMember(rules));
  shrink_->add_option("--behind", baseline_, "the failure is a lower share of worth than with this policy")
      ->check(CLI::IsMember(emulator::PolicyNames()))
      ->excludes(breaks);
  shrink_->add_option("--by", margin_, "with --behind: the least difference between the shares")
      ->check(CLI::Range(0.0, 1.0));
  shrink_->add_option("--plays", max_runs_, "maximum number of simulations to run")
      ->check(CLI::Range(1, 1'000'000));
}

bool Commands::chosen() const { return run_->parsed() || report_->parsed() || shrink_->parsed(); }

int Commands::Run() {
  if (run_->parsed()) return RunExperimentFile();
  if (report_->parsed()) return RunReport();
  return RunShrink();
}

int Commands::RunExperimentFile() {
  const Experiment e = ReadExperiment(file_);
  RunOptions o;
  o.out = out_.empty() ? e.name + ".h5" : out_;
  o.workers = workers_ > 0 ? workers_ : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  o.rerun = rerun_;
  CatchSignals();
  o.stop = [] { return interrupted != 0; };
  if (const auto bar = lab::ProgressLine()) {
    o.progress = [bar](std::size_t done, std::size_t of) {
      bar(static_cast<double>(done) / static_cast<double>(of));
    };
  }
  const RunOutcome r = RunExperiment(e, o);
  std::printf("%s: %zu simulations run, %zu found in the file, %zu left; rule violations: %llu\n",
              o.out.c_str(), r.completed, r.found, r.left, static_cast<unsigned long long>(r.violations));
  if (r.failed_saves > 0)
    std::printf("the file could not be saved %zu times during the run: %s\n", r.failed_saves,
                r.save_error.c_str());
  if (r.left > 0) {
    std::printf("interrupted; run the same command again to continue with the rest\n");
    return 130;
  }
  return r.violations == 0 ? 0 : 1;
}

int Commands::RunReport() {
  const Results r = ReadResults(file_);
  const std::string dir = out_.empty() ? r.experiment.name : out_;
  std::filesystem::create_directories(dir);
  std::vector<std::string> charts;
  for (const auto& [file, script] : ReportCharts(r, dir + "/" + r.experiment.name, png_ ? "png" : "svg")) {
    RunGnuplot(script);
    charts.push_back(std::filesystem::path(file).filename().string());
  }
  WriteText(dir + "/report.md", ReportMarkdown(r, charts));
  std::printf("%s/report.md, %zu charts\n", dir.c_str(), charts.size());
  return 0;
}

int Commands::RunShrink() {
  const Experiment e = ReadExperiment(file_);
  if (rule_.empty() && baseline_.empty())
    throw std::runtime_error("shrink: give --breaks RULE or --behind POLICY");
  if (cell_ >= e.cells.size())
    throw std::runtime_error(
        fmt::format("--cell {}: the sweep has cells 0 to {}", cell_, e.cells.size() - 1));
  ScenarioSpec scenario = e.cells[cell_].scenario;
  scenario.policy = policy_.empty() ? e.policies.front() : policy_;
  scenario.seed = seed_ == 0 ? e.first_seed : seed_;
  CatchSignals();
  emulator::ScenarioOptions options;
  options.stop = [] { return interrupted != 0; };
  const auto fails = [&](const ScenarioSpec& candidate) {
    const ScenarioResult r = emulator::RunScenario(candidate, options);
    if (!rule_.empty()) return ViolationsOf(r.violations, rule_) > 0;
    if (r.requests < 20) return false;  // too few for a comparison
    ScenarioSpec other = candidate;
    other.policy = baseline_;
    return emulator::RunScenario(other, options).Share() - r.Share() >= margin_;
  };
  ShrinkOptions shrink_options;
  shrink_options.max_runs = max_runs_;
  if (const auto bar = lab::ProgressLine())
    shrink_options.progress = [&, bar](std::size_t n, double) {
      bar(static_cast<double>(n) / static_cast<double>(max_runs_));
    };
  ShrinkResult s;
  try {
    s = Shrink(scenario, fails, shrink_options);
  } catch (const emulator::SimulationStopped&) {
    throw std::runtime_error("interrupted; nothing was written");
  }
  const std::string what =
      rule_.empty() ? fmt::format("{} is behind {} by {} or more", s.scenario.policy, baseline_, margin_)
                    : s.scenario.policy + " breaks the rule " + rule_;
  WriteText(out_, "# A scenario in which " + what + "; shrunk from " +
                      std::filesystem::path(file_).filename().string() + ".\n" +
                      WriteExperiment(std::filesystem::path(out_).stem().string(), what, s.scenario));
  std::printf("%s: size reduced from %.0f to %.0f in %zu simulations%s\n", out_.c_str(), s.size_before,
              s.size, s.runs, s.done ? "" : "; may be reduced further with a higher --plays");
  return 0;
}

int CompareFiles(const std::string& a, const std::string& b) {
  std::size_t differs = 0;
  std::fputs(CompareResults(ReadResults(a), ReadResults(b), &differs).c_str(), stdout);
  return 0;
}

}  // namespace ryeglade::experiment
