// The results of an experiment, stored in one columnar file together with the settings and the build. Tables:
// `days` (one row per simulation with its cell, policy, seed, measures and counts), `first_token`
// (histograms), `seconds` (time series) and `replicas` (what each replica served, if the settings ask for
// it). The column `day` is the index of the simulation.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "columnar/columnar_file.h"
#include "lab/experiment/spec.h"

namespace ryeglade::experiment {

// One point of a time series: the mean of emulator::SecondStats over an interval that starts at second `at`.
struct SeriesPoint {
  double at = 0, arrived = 0, worth_asked = 0, worth = 0, refused = 0, held = 0, caps = 0, busy = 0;
};

// The results of one simulation.
struct ScenarioRow {
  std::size_t simulation = 0;
  std::map<std::string, double> measures;              // by name
  std::map<std::string, std::int64_t> counts;          // requests, in_time, ..., violations of each rule
  std::vector<std::pair<double, double>> first_token;  // lower bound of a bin in ms, and count
  std::vector<SeriesPoint> series;
  std::vector<std::vector<std::uint32_t>> served_in;  // by interval, then replica
};

struct Results {
  Experiment experiment;
  std::string build;              // BuildDescription() of the program that ran the simulations
  std::vector<ScenarioRow> rows;  // ordered by simulation

  const ScenarioRow* Find(std::size_t simulation) const;  // nullptr if it was not run
  // Returns the values of a measure by seed, for a cell and policy. NaN: the simulation was not run.
  std::vector<double> ValuesOf(std::size_t cell, std::size_t policy, const std::string& measure) const;
};

// Extracts the row of a simulation from its result.
ScenarioRow RowOf(std::size_t simulation, const emulator::ScenarioSpec& spec,
                  const emulator::ScenarioResult& result);
ColumnarFile ToFile(const Results& results);
// Throws std::runtime_error if the file holds no results or has an unknown schema.
Results FromFile(const ColumnarFile& file);
// Reads a results file. Throws std::runtime_error with the path.
Results ReadResults(const std::string& path);

// Returns the version of this program and its compiler.
std::string BuildDescription();

}  // namespace ryeglade::experiment
