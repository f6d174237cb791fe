// Runs an experiment's simulations in parallel. The results file is saved as a whole from time to time, so
// that an interrupted experiment (Ctrl-C, a crash, a full disk) continues from the last saved state.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "lab/experiment/results.h"

namespace ryeglade::experiment {

struct RunOptions {
  std::string out;             // the results file
  int workers = 1;             // simulations in parallel; the results do not depend on it
  bool rerun = false;          // also run the simulations again that the file has
  double save_interval_s = 5;  // least time between two saves
  std::function<bool()> stop;  // called by any worker; true: end soon and keep the completed simulations
  std::function<void(std::size_t done, std::size_t of)> progress;  // never called concurrently
};

struct RunOutcome {
  std::size_t completed = 0, found = 0, left = 0;  // simulations: run now, found in the file, not run
  std::uint64_t violations = 0;                    // of all rules, over all simulations in the file
  std::size_t failed_saves = 0;                    // saves during the run that failed
  std::string save_error;                          // error of the last failed save
};

// Runs the simulations that the file lacks. Throws std::runtime_error if the file belongs to another
// experiment or build, if it can't be written at the end, or if a simulation fails.
RunOutcome RunExperiment(const Experiment& experiment, const RunOptions& options);

}  // namespace ryeglade::experiment
