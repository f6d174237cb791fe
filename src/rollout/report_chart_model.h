// Draws a recorded rollout as a gnuplot script. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "rollout/report_model.h"

namespace ryeglade::rollout {

// Returns a script that draws into the file `out`: a row for each node with its state over time, and below it
// the differences between the cohorts, with confidence intervals, in failures, in requests not served in time
// and in times to first token, over all classes. Injected faults are shaded. Throws std::runtime_error if no
// round is recorded.
std::string ReportChart(const std::vector<RecordedRound>& rounds, const std::string& out);

}  // namespace ryeglade::rollout
