// A recorded rollout as a gnuplot script. No I/O, no clock.
#pragma once

#include <string>
#include <vector>

#include "rollout/report_model.h"

namespace ryeglade::rollout {

// Draws into the file `out`: a row for each node with its state over time, then the difference between the
// cohorts with its confidence interval, for failures, for what was not served in time and for first tokens,
// over all classes; faults as shading. Throws std::runtime_error where no round is recorded.
std::string ReportChart(const std::vector<RecordedRound>& rounds, const std::string& out);

}  // namespace ryeglade::rollout
