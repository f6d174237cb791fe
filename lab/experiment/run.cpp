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

// Returns the rows that the results file already has.
std::vector<ScenarioRow> LoadExistingRows(const Experiment& e, const RunOptions& o) {
  if (o.rerun || !std::filesystem::exists(o.out)) return {};
  Results before = ReadResults(o.out);
  if (before.experiment.fingerprint != e.fingerprint) {
    throw std::runtime_error(o.out + ": holds other simulations than '" + e.name +
                             "'; give another --out, or --anew to replace them");
  }
  if (before.build != BuildDescription()) {
    throw std::runtime_error(
        o.out + ": was made by " + before.build + ", this is " + BuildDescription() +
        "; results of two builds can't be mixed: give another --out, or --anew to replace them");
  }
  return std::move(before.rows);
}

}  // namespace

RunOutcome RunExperiment(const Experiment& e, const RunOptions& o) {
  RunOutcome outcome;
  Results results;
  results.experiment = e;
  results.build = BuildDescription();
  results.rows = LoadExistingRows(e, o);
  outcome.found = results.rows.size();
  std::vector<std::size_t> todo;
  for (std::size_t n = 0; n < e.simulations(); ++n) {
    if (results.Find(n) == nullptr) todo.push_back(n);
  }

  std::mutex mutex;  // guards results, outcome and failed
  std::exception_ptr failed;
  std::atomic<std::size_t> next = 0;
  double saved_at = WallNow(), save_interval_s = o.save_interval_s;
  // A worker whose simulation fails sets `next` far beyond the end, which also ends simulations in progress.
  const auto stop = [&] { return next.load() >= todo.size() + 1'000'000 || (o.stop && o.stop()); };
  const auto work = [&] {
    for (;;) {
      const std::size_t at = next++;
      if (at >= todo.size() || (o.stop && o.stop())) return;
      const std::size_t n = todo[at];
      const emulator::ScenarioSpec scenario = e.Scenario(n);
      ScenarioRow row;
      try {
        emulator::ScenarioOptions options;
        options.stop = stop;
        row = RowOf(n, scenario, emulator::RunScenario(scenario, options));
      } catch (const emulator::SimulationStopped&) {
        return;
      } catch (const std::exception& error) {
        const std::lock_guard lock(mutex);
        if (!failed) {
          failed = std::make_exception_ptr(std::runtime_error(
              "simulation " + std::to_string(n) + " (" + e.CellName(e.CellOf(n)) + ", " + scenario.policy +
              ", seed " + std::to_string(scenario.seed) + "): " + error.what()));
        }
        next = todo.size() + 1'000'000;  // the other workers end too
        return;
      }
      const std::lock_guard lock(mutex);
      const auto place =
          std::lower_bound(results.rows.begin(), results.rows.end(), n,
                           [](const ScenarioRow& r, std::size_t wanted) { return r.simulation < wanted; });
      results.rows.insert(place, std::move(row));
      ++outcome.completed;
      if (o.progress) o.progress(outcome.found + outcome.completed, e.simulations());
      const double now = WallNow();
      if (now - saved_at < save_interval_s) continue;
      try {
        WriteColumns(o.out, ToFile(results));
      } catch (const std::exception& error) {
        ++outcome.failed_saves;  // saving is tried again later, and must succeed at the end
        outcome.save_error = error.what();
      }
      saved_at = WallNow();
      save_interval_s =
          std::max(o.save_interval_s, 20 * (saved_at - now));  // saving takes at most a twentieth of the time
    }
  };
  std::vector<std::thread> threads;
  for (int w = 1; w < o.workers; ++w) threads.emplace_back(work);
  work();
  for (std::thread& t : threads) t.join();
  outcome.left = e.simulations() - results.rows.size();
  for (const ScenarioRow& row : results.rows) {
    for (const auto& [name, n] : row.counts) {
      if (name.rfind("break_", 0) == 0) outcome.violations += static_cast<std::uint64_t>(n);
    }
  }
  if (outcome.completed > 0 || outcome.found == 0) WriteColumns(o.out, ToFile(results));
  if (failed) std::rethrow_exception(failed);
  return outcome;
}

}  // namespace ryeglade::experiment
