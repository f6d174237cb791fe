// Plays the same days with several policies and loads, over cores, and tells differences that are more than
// noise: paired by seed, with 95% intervals by Student's t.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::emulator {

struct CompareOptions {
  ScenarioSpec day;
  std::vector<std::string> policies{"router"};
  std::vector<double> loads{1.0};  // times day.clients.per_second
  int seeds = 5;                   // day.seed, day.seed + 1, ...
  int workers = 1;                 // processes' worth of threads; the result does not depend on it
  std::function<void(std::size_t done, std::size_t of)> progress;
};

struct Interval {
  double mean = 0, half = 0;  // of 95%; half is 0 for a single seed
};
Interval IntervalOf(const std::vector<double>& values);

struct CompareRow {
  std::string policy;
  double load = 1;
  Interval share;     // of the worth asked for
  Interval against;   // share minus that of the first policy, paired by seed
  Interval p50, p99;  // first token, ms
  Interval refused;   // share of requests that were refused, failed, broken or lost
  Interval kept;      // share of prompt tokens found in memory
  std::uint64_t violations = 0;
  std::vector<ScenarioResult> days;
};

std::vector<CompareRow> Compare(const CompareOptions& options);
std::string CompareTable(const std::vector<CompareRow>& rows);
std::string CompareMarkdown(const std::vector<CompareRow>& rows);
// A gnuplot script: share of worth, and p99 of first tokens, against load. `out` ends in .svg or .png.
std::string CompareChart(const std::vector<CompareRow>& rows, const std::string& out,
                         const std::string& title);

}  // namespace ryeglade::emulator
