// Plays an experiment's days over cores. The results file is written again now and then while it runs, whole
// each time, so that what is cut short (Ctrl-C, a crash, a full disk) goes on from what it has.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "lab/experiment/results.h"

namespace ryeglade::experiment {

struct RunOptions {
  std::string out;             // the results file
  int workers = 1;             // days at once; the results do not depend on it
  bool rerun = false;          // true: days that the file has are played again
  double save_every = 5;       // seconds
  std::function<bool()> stop;  // asked from any worker; true: end soon, with what is done
  std::function<void(std::size_t done, std::size_t of)> progress;  // one at a time
};

struct RunOutcome {
  std::size_t played = 0, found = 0, left = 0;  // days: now, in the file before, not played
  std::uint64_t violations = 0;                 // rules broken, over all days in the file
  std::size_t not_saved = 0;                    // times that the file could not be written on the way
  std::string why_not;
};

// Throws std::runtime_error where the file is of another experiment, or can't be written at the end.
RunOutcome RunExperiment(const Experiment& experiment, const RunOptions& options);

}  // namespace ryeglade::experiment
