#include "lab/cluster/command.h"

#include <fmt/format.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <atomic>
#include <cmath>
#include <cstdio>
#include <filesystem>
#include <map>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>

#include "columnar/columnar_file.h"
#include "lab/cluster/emulated.h"
#include "lab/cluster/explorer.h"
#include "lab/cluster/real.h"
#include "lab/cluster/scenario.h"
#include "lab/progress.h"

namespace ryeglade::cluster {
namespace {

// Returns "-" for NaN, which stands for a figure without values.
std::string FormatFigure(double v, const char* form = "{:.2f}") {
  return std::isnan(v) ? "-" : fmt::format(fmt::runtime(form), v);
}

struct Mean {
  double sum = 0, square = 0;
  std::size_t n = 0;
  void Add(double v) {
    sum += v;
    square += v * v;
    ++n;
  }
  double mean() const { return n == 0 ? std::nan("") : sum / static_cast<double>(n); }
  // Half the width of the 95% confidence interval of the mean.
  double half_interval() const {
    if (n < 2) return std::nan("");
    const double k = static_cast<double>(n);
    return 1.96 * std::sqrt(std::max(0.0, (square - sum * sum / k) / (k - 1)) / k);
  }
};

// Returns `text` with the value of a top-level key replaced, or with the key added.
std::string ReplaceTopLevelKey(std::string text, const std::string& key, const std::string& value) {
  const std::string mark = "\n" + key + " = ";
  const std::size_t at = text.find(mark), head = text.find("\n[");
  if (at != std::string::npos && (head == std::string::npos || at < head)) {
    text.replace(at, text.find('\n', at + 1) - at, mark + value);
    return text;
  }
  return text.insert(text.find('\n'), mark + value);
}

}  // namespace

Commands::Commands(CLI::App& app) {
  cluster_ = app.add_subcommand(
      "cluster", "play scenarios of several nodes with faults, and check what the nodes report");
  cluster_->add_option("scenario", files_, "scenario files, TOML");
  cluster_->add_flag("--list", list_, "list the shipped scenarios");
  cluster_->add_option("--directory", directory_, "directory of the shipped scenarios");
  cluster_->add_flag("--emulate", emulate_, "run in virtual time, with the same membership code");
  cluster_->add_option("--detector", detectors_, "failure detectors to run; only with --emulate")
      ->delimiter(',')
      ->check(CLI::IsMember(Detectors()));
  cluster_
      ->add_option("--seeds", seeds_, "number of runs of each scenario, with consecutive seeds from its own")
      ->check(CLI::Range(1, 10'000));
  cluster_->add_option("--nodes", nodes_, "number of nodes instead of the scenario's; only with --emulate")
      ->check(CLI::Range(2, 5000));
  cluster_
      ->add_option("--warm-up", warm_up_, "warm-up in periods instead of the scenario's; only with --emulate")
      ->check(CLI::Range(1.0, 1e4));
  cluster_->add_option("--loss", loss_, "share of every loss fault instead of its own; only with --emulate")
      ->check(CLI::Range(0.01, 0.99));
  cluster_->add_option("--workers", workers_, "number of threads; 0 means as many as cores")
      ->check(CLI::Range(0, 256));
  cluster_->add_flag(
      "--explore", explore_,
      "play every schedule of faults up to a depth over a few nodes, and check the invariants");
  cluster_->add_option("--depth", depth_, "number of consecutive faults; only with --explore")
      ->check(CLI::Range(1, 6));
  cluster_
      ->add_option("--variant", variant_, "a variant with a defect, which must be found; only with --explore")
      ->check(CLI::IsMember({"no-refute", "no-order", "no-memory", "no-majority"}));
  cluster_->add_option("--out", out_, "write all events of the last run to this results file (HDF5)");
  cluster_->add_option("--chart", chart_,
                       "draw every view over time, of the last run; a name that ends in .svg or .png");
  cluster_->add_option("--period", period_,
                       "probe period instead of the scenario's, such as 200ms; only with real processes");
  cluster_->add_option("--old-program", old_program_,
                       "program of the nodes that a scenario lists in old_build");
  cluster_->add_option("--logs", logs_, "directory for each process's log");
  cluster_->add_flag("--said", print_events_, "print all events (of the last run)");
}

bool Commands::chosen() const { return cluster_->parsed(); }

int Commands::Run(const std::string& node_program) {
  if (list_) {
    std::vector<std::string> names;
    for (const auto& entry : std::filesystem::directory_iterator(directory_)) {
      if (entry.path().extension() == ".toml") names.push_back(entry.path().string());
    }
    std::sort(names.begin(), names.end());
    for (const std::string& name : names) {
      const Scenario s = ReadScenario(name);
      std::printf("%-44s %4zu nodes  %s\n", name.c_str(), s.nodes, s.title.c_str());
    }
    return 0;
  }
  if (explore_) return RunExplorer();
  if (files_.empty())
    throw std::runtime_error(
        "cluster: no scenario file given; name one or more (--list lists the shipped ones)");
  if (emulate_) return Emulate(files_);
  return PlayReal(files_, node_program);
}

void Commands::WriteEvents(const Scenario& scenario, const std::string& how,
                           std::vector<NodeEvent> events) const {
  if (print_events_) {
    for (const NodeEvent& s : events)
      std::printf("  %9.2f %-5s %-16s %-6s by %-6s %llu\n", s.at, scenario.NodeName(s.observer).c_str(),
                  s.what.c_str(), s.member.c_str(), s.by.c_str(), static_cast<unsigned long long>(s.value));
  }
  if (out_.empty()) return;
  InvariantChecker checker(scenario);
  for (NodeEvent& event : events) checker.AddEvent(std::move(event));
  ColumnarFile file;
  file.attributes = {{"scenario", scenario.text}, {"how", how}};
  file.tables.push_back(checker.Table());
  WriteColumns(out_, file);
}

int Commands::PlayReal(const std::vector<std::string>& files, const std::string& node_program) {
  std::printf("%-20s %5s %5s | %7s %7s | %7s %7s | %8s %7s | %8s %8s %6s | %s\n", "scenario", "nodes", "good",
              "deaths", "false", "p50", "p99", "one view", "returns", "messages", "bytes", "cpu",
              "served of asked");
  bool all_good = true;
  for (const std::string& file : files) {
    Scenario scenario = ReadScenario(file);
    if (!period_.empty())
      scenario = ParseScenario(file, ReplaceTopLevelKey(scenario.text, "period", "\"" + period_ + "\""));
    for (int run = 0; run < seeds_; ++run) {
      RealOptions o;
      o.program = node_program;
      o.old_program = old_program_;
      o.keep_logs = logs_;
      o.chart = chart_;
      o.progress = lab::ProgressLine();
      std::vector<NodeEvent> events;
      o.events = &events;
      const RealResult r = cluster::PlayReal(scenario, o);
      const Figures& f = r.verdict.figures;
      all_good = all_good && r.verdict.good();
      std::printf("%-20s %5zu %5s | %7zu %7zu | %7s %7s | %8.2f %7zu | %8.2f %8.0f %5.2f%% | %llu of %llu\n",
                  scenario.name.c_str(), scenario.nodes, r.verdict.good() ? "yes" : "NO", f.deaths,
                  f.false_deaths, FormatFigure(Quantile(f.detection, 0.5)).c_str(),
                  FormatFigure(Quantile(f.detection, 0.99)).c_str(), f.one_view, f.most_returns, r.messages,
                  r.bytes, 100 * r.cpu_share, static_cast<unsigned long long>(r.served),
                  static_cast<unsigned long long>(r.asked));
      for (const std::string& line : r.verdict.violations) std::printf("  %s\n", line.c_str());
      WriteEvents(scenario, "real processes", std::move(events));
      std::fflush(stdout);
      ++scenario.seed;
    }
  }
  return all_good ? 0 : 1;
}

int Commands::RunExplorer() {
  ExploreOptions o;
  o.nodes = nodes_ > 0 ? nodes_ : 3;
  if (o.nodes > 6)
    throw std::runtime_error(fmt::format("cluster: --explore takes 2 to 6 nodes, not {}", o.nodes));
  o.depth = depth_;
  o.workers = workers_;
  o.variant = variant_;
  const ExplorationResult e = Explore(o);
  std::printf(
      "%zu nodes, depth %d%s%s: %llu schedules, %llu ticks, %llu different states; %llu deaths, %llu "
      "returns, "
      "%llu doubts\n",
      o.nodes, o.depth, variant_.empty() ? "" : ", variant ", variant_.c_str(),
      static_cast<unsigned long long>(e.schedules), static_cast<unsigned long long>(e.ticks),
      static_cast<unsigned long long>(e.states), static_cast<unsigned long long>(e.deaths),
      static_cast<unsigned long long>(e.returns), static_cast<unsigned long long>(e.doubts));
  for (const auto& [name, n] : e.by_invariant)
    std::printf("broken: %s, %llu schedules\n", name.c_str(), static_cast<unsigned long long>(n));
  std::map<std::string, int> shown;
  for (std::size_t i = 0; i < e.violations.size(); ++i) {
    if (++shown[e.violations[i].invariant] > 4) continue;
    std::printf("  %s: %s: %s\n", e.violations[i].invariant.c_str(), e.violations[i].schedule.c_str(),
                e.violations[i].what.c_str());
  }
  return e.violations.empty() ? 0 : 1;
}

int Commands::Emulate(const std::vector<std::string>& files) {
  std::printf("%-20s %-13s %5s %6s | %7s %7s | %7s %7s %7s | %8s %7s | %8s %8s | %s\n", "scenario",
              "detector", "nodes", "good", "deaths", "false", "p50", "p99", "missed", "one view", "returns",
              "messages", "bytes", "");
  bool all_good = true;
  for (const std::string& file : files) {
    Scenario scenario = ReadScenario(file);
    if (nodes_ > 0)
      scenario = ParseScenario(file, ReplaceTopLevelKey(scenario.text, "nodes", std::to_string(nodes_)));
    if (warm_up_ > 0)
      scenario =
          ParseScenario(file, ReplaceTopLevelKey(scenario.text, "warm_up", fmt::format("{}", warm_up_)));
    if (loss_ > 0)
      scenario = ParseScenario(file, ReplaceTopLevelKey(scenario.text, "loss", fmt::format("{}", loss_)));
    for (const std::string& detector : detectors_) {
      std::vector<EmulatedResult> results(static_cast<std::size_t>(seeds_));
      std::vector<NodeEvent> events;
      std::atomic<std::size_t> next{0};
      const auto work = [&] {
        for (std::size_t i = next++; i < results.size(); i = next++) {
          EmulatedOptions o;
          o.detector = detector;
          o.seed = scenario.seed + i;
          if (i + 1 == results.size()) {
            o.chart = chart_;
            o.events = &events;
          }
          results[i] = PlayEmulated(scenario, o);
        }
      };
      const unsigned cores =
          workers_ > 0 ? static_cast<unsigned>(workers_) : std::max(1U, std::thread::hardware_concurrency());
      std::vector<std::thread> threads;
      for (unsigned i = 0; i < std::min<std::size_t>(cores, results.size()); ++i) threads.emplace_back(work);
      for (std::thread& t : threads) t.join();
      Mean deaths, false_deaths, messages, bytes, view, missed, to_all;
      std::vector<double> detection;
      std::size_t good = 0, returns = 0;
      for (const EmulatedResult& r : results) {
        const Figures& f = r.verdict.figures;
        good += r.verdict.good() ? 1 : 0;
        deaths.Add(static_cast<double>(f.deaths));
        false_deaths.Add(static_cast<double>(f.false_deaths));
        messages.Add(r.messages);
        bytes.Add(r.bytes);
        missed.Add(f.missed);
        if (r.periods_to_all >= 0) to_all.Add(r.periods_to_all);
        if (f.one_view >= 0) view.Add(f.one_view);
        returns = std::max(returns, f.most_returns);
        detection.insert(detection.end(), f.detection.begin(), f.detection.end());
      }
      std::string tail =
          results.size() > 1 ? fmt::format("false +-{}", FormatFigure(false_deaths.half_interval())) : "";
      if (to_all.n > 0) tail += fmt::format(" news to all {}", FormatFigure(to_all.mean()));
      std::printf("%-20s %-13s %5zu %2zu/%-3zu | %7s %7s | %7s %7s %7s | %8s %7zu | %8s %8s | %s\n",
                  scenario.name.c_str(), detector.c_str(), scenario.nodes, good, results.size(),
                  FormatFigure(deaths.mean()).c_str(), FormatFigure(false_deaths.mean()).c_str(),
                  FormatFigure(Quantile(detection, 0.5)).c_str(),
                  FormatFigure(Quantile(detection, 0.99)).c_str(), FormatFigure(missed.mean()).c_str(),
                  FormatFigure(view.mean()).c_str(), returns, FormatFigure(messages.mean()).c_str(),
                  FormatFigure(bytes.mean(), "{:.0f}").c_str(), tail.c_str());
      if (detector == "ryeglade" && good < results.size()) {
        all_good = false;
        std::size_t printed = 0;
        for (std::size_t i = 0; i < results.size(); ++i) {
          for (const std::string& line : results[i].verdict.violations) {
            if (++printed <= 6)
              std::printf("  seed %s: %s\n", std::to_string(scenario.seed + i).c_str(), line.c_str());
          }
        }
      }
      WriteEvents(scenario, detector, std::move(events));
      std::fflush(stdout);
    }
  }
  return all_good ? 0 : 1;
}

}  // namespace ryeglade::cluster
