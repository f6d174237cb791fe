#include "lab/experiment/run.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <exception>
#include <filesystem>
#include <mutex>
#include <stdexcept>
#include <thread>
#include <utility>
#include <vector>

namespace ryeglade::experiment {
namespace {

double WallNow() {
  return std::chrono::duration<double>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

// What a file of this name already has of it.
std::vector<ScenarioRow> Found(const Experiment& e, const RunOptions& o) {
  if (o.rerun || !std::filesystem::exists(o.out)) return {};
  Results before = ReadResults(o.out);
  if (before.experiment.mark != e.mark) {
    throw std::runtime_error(o.out + ": holds other days than '" + e.name +
                             "' asks for; give another --out, or --anew to put these in their place");
  }
  if (before.build != BuildDescription()) {
    throw std::runtime_error(o.out + ": was made by " + before.build + ", this is " + BuildDescription() +
                             "; days of two builds do not mix: give another --out, or --anew");
  }
  return std::move(before.rows);
}

}  // namespace

RunOutcome RunExperiment(const Experiment& e, const RunOptions& o) {
  RunOutcome outcome;
  Results results;
  results.experiment = e;
  results.build = BuildDescription();
  results.rows = Found(e, o);
  outcome.found = results.rows.size();
  std::vector<std::size_t> todo;
  for (std::size_t n = 0; n < e.days(); ++n) {
    if (results.Find(n) == nullptr) todo.push_back(n);
  }

  std::mutex mutex;  // of results, outcome and failed
  std::exception_ptr failed;
  std::atomic<std::size_t> next = 0;
  double saved = WallNow(), save_every = o.save_every;
  const auto stop = [&] { return next.load() >= todo.size() + 1'000'000 || (o.stop && o.stop()); };
  const auto work = [&] {
    for (;;) {
      const std::size_t at = next++;
      if (at >= todo.size() || (o.stop && o.stop())) return;
      const std::size_t n = todo[at];
      const emulator::ScenarioSpec day = e.Day(n);
      ScenarioRow row;
      try {
        emulator::ScenarioOptions options;
        options.stop = stop;
        row = RowOf(n, day, emulator::RunScenario(day, options));
      } catch (const emulator::SimulationStopped&) {
        return;
      } catch (const std::exception& wrong) {
        const std::lock_guard lock(mutex);
        if (!failed) {
          failed = std::make_exception_ptr(
              std::runtime_error("day " + std::to_string(n) + " (" + e.CellName(e.CellOf(n)) + ", " +
                                 day.policy + ", seed " + std::to_string(day.seed) + "): " + wrong.what()));
        }
        next = todo.size() + 1'000'000;  // the others end too
        return;
      }
      const std::lock_guard lock(mutex);
      const auto place = std::lower_bound(results.rows.begin(), results.rows.end(), n,
                                          [](const ScenarioRow& r, std::size_t d) { return r.day < d; });
      results.rows.insert(place, std::move(row));
      ++outcome.played;
      if (o.progress) o.progress(outcome.found + outcome.played, e.days());
      const double now = WallNow();
      if (now - saved < save_every) continue;
      try {
        WriteColumns(o.out, ToFile(results));
      } catch (const std::exception& full) {
        ++outcome.not_saved;  // it is tried again, and must succeed at the end
        outcome.why_not = full.what();
      }
      saved = WallNow();
      save_every =
          std::max(o.save_every, 20 * (saved - now));  // writing takes a twentieth of the time at most
    }
  };
  std::vector<std::thread> threads;
  for (int w = 1; w < o.workers; ++w) threads.emplace_back(work);
  work();
  for (std::thread& t : threads) t.join();
  outcome.left = e.days() - results.rows.size();
  for (const ScenarioRow& row : results.rows) {
    for (const auto& [name, n] : row.counts) {
      if (name.rfind("break_", 0) == 0) outcome.violations += static_cast<std::uint64_t>(n);
    }
  }
  if (outcome.played > 0 || outcome.found == 0) WriteColumns(o.out, ToFile(results));
  if (failed) std::rethrow_exception(failed);
  return outcome;
}

}  // namespace ryeglade::experiment
