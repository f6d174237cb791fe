// Reduces a failing scenario to a smaller one that still fails. The caller's predicate decides whether a
// scenario fails; each call of it runs a simulation. No I/O.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

struct ShrinkOptions {
  std::size_t max_runs = 400;  // maximum number of simulations
  // Called after each run with the number of runs so far, and the size of the smallest failing scenario.
  std::function<void(std::size_t runs, double size)> progress;
};

struct ShrinkResult {
  emulator::ScenarioSpec scenario;
  std::size_t runs = 0;
  double size_before = 0, size = 0;  // of the scenario: roughly its requests plus replica-seconds
  bool done = false;                 // false: max_runs was reached before the end
};

// Removes faults by delta debugging (Zeller and Hildebrandt, IEEE TSE 2002), then classes and replica kinds.
// Then reduces, each by bisection, the length, the fleet, the clients, and the times and counts of the
// faults. Repeats that until nothing can be reduced further; finally restores the default of every field that
// is not needed for the failure. Throws std::runtime_error if the given scenario does not fail.
ShrinkResult Shrink(const emulator::ScenarioSpec& scenario,
                    const std::function<bool(const emulator::ScenarioSpec&)>& fails,
                    const ShrinkOptions& options = {});

}  // namespace ryeglade::experiment
