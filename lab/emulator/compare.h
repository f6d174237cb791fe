// Runs the same scenarios with several policies and loads in parallel, and reports which differences exceed
// noise: results are paired by seed, with 95% intervals by Student's t distribution.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::emulator {

struct CompareOptions {
  ScenarioSpec scenario;
  std::vector<std::string> policies{"router"};
  std::vector<double> loads{1.0};  // factors of scenario.clients.per_second
  int seeds = 5;                   // scenario.seed, scenario.seed + 1, ...
  int workers = 1;                 // threads; the result does not depend on their number
  // Called after each simulation, never concurrently; may be empty.
  std::function<void(std::size_t done, std::size_t total)> progress;
};

// A mean and its 95% confidence interval, mean ± half.
struct Interval {
  double mean = 0;
  double half = 0;  // half the width of the 95% interval; 0 for fewer than two values
};
Interval IntervalOf(const std::vector<double>& values);

// The results of one policy at one load. Intervals are over the seeds.
struct CompareRow {
  std::string policy;
  double load = 1;
  Interval share;                    // served worth as a share of the requested worth
  Interval difference_to_first;      // share minus that of the first policy, paired by seed
  Interval p50, p99;                 // time to the first token, ms
  Interval refused;                  // share of requests that were refused, failed, broken or lost
  Interval cached_share;             // share of prompt tokens that were found in prefix caches
  std::uint64_t violations = 0;      // of all rules, over all runs
  std::vector<ScenarioResult> runs;  // by seed
};

// Runs all simulations. Rows are ordered by load, then policy. Throws the first error of a simulation.
std::vector<CompareRow> Compare(const CompareOptions& options);
// Both format the rows: as a plain text table, and as a Markdown table.
std::string CompareTable(const std::vector<CompareRow>& rows);
std::string CompareMarkdown(const std::vector<CompareRow>& rows);
// Returns a gnuplot script that draws the share of worth and the p99 of the first token over the load. `out`
// is the image file, ending in .svg or .png.
std::string CompareChart(const std::vector<CompareRow>& rows, const std::string& out,
                         const std::string& title);

}  // namespace ryeglade::emulator
