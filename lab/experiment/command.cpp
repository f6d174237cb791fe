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

void WatchSignals() {
  for (const int number : {SIGINT, SIGTERM}) {
    struct sigaction act {};
    act.sa_handler = [](int) { interrupted = 1; };
    act.sa_flags = static_cast<int>(SA_RESETHAND);  // the second time it ends at once
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

std::uint64_t Broken(const emulator::RuleViolations& b, const std::string& rule) {
  if (rule == "any") return b.all();
  for (const auto& [name, count] : Rules()) {
    if (name == rule) return b.*count;
  }
  return 0;
}

}  // namespace

Commands::Commands(CLI::App& app) {
  run_ = app.add_subcommand("run", "play the days of an experiment file, over cores, into a results file");
  run_->add_option("file", file_, "the experiment, TOML")->required();
  run_->add_option("--out", out_, "the results; else the experiment's name with .h5");
  run_->add_option("--workers", workers_, "days at once; 0: as many as there are cores")
      ->check(CLI::Range(0, 256));
  run_->add_flag("--anew", anew_, "play all days again, also those that the results have");

  report_ = app.add_subcommand("report", "tables and pictures of a results file, as Markdown");
  report_->add_option("results", file_)->required();
  report_->add_option("--out", out_, "the directory; else the experiment's name");
  report_->add_flag("--png", png_, "pictures as PNG; else SVG");

  shrink_ = app.add_subcommand("shrink", "a smaller day that still goes wrong");
  shrink_->add_option("file", file_, "the experiment, TOML")->required();
  shrink_->add_option("--out", out_, "the smaller day, as an experiment of its own")->required();
  shrink_->add_option("--cell", cell_, "which combination of the sweep, from 0");
  shrink_->add_option("--policy", policy_, "else the first one");
  shrink_->add_option("--seed", seed_, "else the first one");
  std::vector<std::string> rules{"any"};
  for (const auto& [name, count] : Rules()) rules.push_back(name);
  auto* breaks = shrink_->add_option("--breaks", breaks_, "it goes wrong by breaking this rule")
                     ->check(CLI::IsMember(rules));
  shrink_->add_option("--behind", behind_, "it goes wrong by falling behind this policy in share of worth")
      ->check(CLI::IsMember(emulator::PolicyNames()))
      ->excludes(breaks);
  shrink_->add_option("--by", by_, "by at least that much")->check(CLI::Range(0.0, 1.0));
  shrink_->add_option("--plays", plays_, "days played at most")->check(CLI::Range(1, 1'000'000));
}

bool Commands::chosen() const { return run_->parsed() || report_->parsed() || shrink_->parsed(); }

int Commands::Run() {
  if (run_->parsed()) return RunRun();
  if (report_->parsed()) return RunReport();
  return RunShrink();
}

int Commands::RunRun() {
  const Experiment e = ReadExperiment(file_);
  RunOptions o;
  o.out = out_.empty() ? e.name + ".h5" : out_;
  o.workers = workers_ > 0 ? workers_ : static_cast<int>(std::max(1U, std::thread::hardware_concurrency()));
  o.rerun = anew_;
  WatchSignals();
  o.stop = [] { return interrupted != 0; };
  if (const auto bar = lab::ProgressLine()) {
    o.progress = [bar](std::size_t done, std::size_t of) {
      bar(static_cast<double>(done) / static_cast<double>(of));
    };
  }
  const RunOutcome r = RunExperiment(e, o);
  std::printf("%s: %zu days played, %zu found, %zu left; rules broken: %llu\n", o.out.c_str(), r.played,
              r.found, r.left, static_cast<unsigned long long>(r.violations));
  if (r.not_saved > 0)
    std::printf("the file could not be saved %zu times on the way: %s\n", r.not_saved, r.why_not.c_str());
  if (r.left > 0) {
    std::printf("run it again to go on\n");
    return 130;
  }
  return r.violations == 0 ? 0 : 1;
}

int Commands::RunReport() {
  const Results r = ReadResults(file_);
  const std::string dir = out_.empty() ? r.experiment.name : out_;
  std::filesystem::create_directories(dir);
  std::vector<std::string> pictures;
  for (const auto& [file, script] : ReportPictures(r, dir + "/" + r.experiment.name, png_ ? "png" : "svg")) {
    RunGnuplot(script);
    pictures.push_back(std::filesystem::path(file).filename().string());
  }
  WriteText(dir + "/report.md", ReportMarkdown(r, pictures));
  std::printf("%s/report.md, %zu pictures\n", dir.c_str(), pictures.size());
  return 0;
}

int Commands::RunShrink() {
  const Experiment e = ReadExperiment(file_);
  if (breaks_.empty() && behind_.empty())
    throw std::runtime_error("say what is wrong: --breaks RULE, or --behind POLICY");
  if (cell_ >= e.cells.size())
    throw std::runtime_error(
        fmt::format("--cell {}: the sweep has cells 0 to {}", cell_, e.cells.size() - 1));
  ScenarioSpec day = e.cells[cell_].day;
  day.policy = policy_.empty() ? e.policies.front() : policy_;
  day.seed = seed_ == 0 ? e.first_seed : seed_;
  WatchSignals();
  emulator::ScenarioOptions options;
  options.stop = [] { return interrupted != 0; };
  const auto wrong = [&](const ScenarioSpec& d) {
    const ScenarioResult r = emulator::RunScenario(d, options);
    if (!breaks_.empty()) return Broken(r.violations, breaks_) > 0;
    if (r.requests < 20) return false;  // too few to say anything by
    ScenarioSpec other = d;
    other.policy = behind_;
    return emulator::RunScenario(other, options).Share() - r.Share() >= by_;
  };
  ShrinkOptions so;
  so.max_runs = plays_;
  if (const auto bar = lab::ProgressLine())
    so.progress = [&, bar](std::size_t n, double) {
      bar(static_cast<double>(n) / static_cast<double>(plays_));
    };
  ShrinkResult s;
  try {
    s = Shrink(day, wrong, so);
  } catch (const emulator::SimulationStopped&) {
    throw std::runtime_error("interrupted; nothing was written");
  }
  const std::string what = breaks_.empty()
                               ? fmt::format("{} is behind {} by {} or more", s.day.policy, behind_, by_)
                               : s.day.policy + " breaks the rule " + breaks_;
  WriteText(out_, "# A day on which " + what + "; shrunk from " +
                      std::filesystem::path(file_).filename().string() + ".\n" +
                      WriteExperiment(std::filesystem::path(out_).stem().string(), what, s.day));
  std::printf("%s: size %.0f to %.0f in %zu plays%s\n", out_.c_str(), s.size_before, s.size, s.plays,
              s.done ? "" : ", and more may be had with more --plays");
  return 0;
}

int CompareFiles(const std::string& a, const std::string& b) {
  std::size_t differs = 0;
  std::fputs(CompareResults(ReadResults(a), ReadResults(b), &differs).c_str(), stdout);
  return 0;
}

}  // namespace ryeglade::experiment
