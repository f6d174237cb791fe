// What an experiment came to: one row for each day that was played, in one columnar file with the settings,
// the build and the seeds. Tables: `days` (a row a day: its cell, policy, seed, measures, counts),
// `first_token` (its histogram), `seconds` (its course) and `replicas` (what each replica served, where the
// settings ask for it).
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "columnar/columnar_file.h"
#include "lab/experiment/spec.h"

namespace ryeglade::experiment {

struct Point {  // of a day's course; rates are a second, the others means
  double at = 0, arrived = 0, worth_asked = 0, worth = 0, refused = 0, held = 0, caps = 0, busy = 0;
};

struct ScenarioRow {
  std::size_t day = 0;
  std::map<std::string, double> measures;              // by name
  std::map<std::string, std::int64_t> counts;          // requests, in_time, ..., and each rule's breaks
  std::vector<std::pair<double, double>> first_token;  // lower bound of a bin, ms; how many
  std::vector<Point> course;
  std::vector<std::vector<std::uint32_t>> served_in;  // by span, then replica
};

struct Results {
  Experiment experiment;
  std::string build;
  std::vector<ScenarioRow> rows;  // ordered by day

  const ScenarioRow* Find(std::size_t day) const;
  // Of a measure, over all seeds of a cell and policy that were played; by seed, NaN: not played.
  std::vector<double> Of(std::size_t cell, std::size_t policy, const std::string& measure) const;
};

ScenarioRow RowOf(std::size_t day, const emulator::ScenarioSpec& spec,
                  const emulator::ScenarioResult& result);
ColumnarFile ToFile(const Results& results);
// Throws std::runtime_error for a file that holds no results, or of a schema that is not known.
Results FromFile(const ColumnarFile& file);
Results ReadResults(const std::string& path);

// Compiler and version of this program.
std::string BuildDescription();

}  // namespace ryeglade::experiment
