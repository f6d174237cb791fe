// An experiment as a TOML file tells it: one day, what is varied, which policies play it and over how many
// seeds. Reading it checks every cell of the sweep before any day is played; what is wrong names file, line,
// key and remedy. No I/O but for ReadExperiment.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

struct Axis {
  std::string key;    // "clients.rate", "fault.0.factor", or "load": times clients.rate
  std::string label;  // for tables and charts
  std::vector<std::string> values;
  std::vector<double> numbers;  // of the values, where all are quantities; else empty
};

struct Cell {
  std::vector<std::size_t> at;  // which value of each axis
  emulator::ScenarioSpec day;   // its policy and seed are still to be set
};

struct Experiment {
  std::string name, title;
  std::string text;  // the file, whole
  std::uint64_t mark =
      0;  // of what the days depend on: a results file of another mark is of another experiment
  std::vector<Axis> axes;
  std::vector<std::string> policies;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  std::vector<std::string> measures;  // that reports show; see MeasureNames()
  std::vector<Cell> cells;            // the last axis runs fastest

  std::size_t days() const { return cells.size() * policies.size() * seeds; }
  // Day n: cells slowest, then policies, then seeds.
  std::size_t CellOf(std::size_t n) const { return n / (policies.size() * seeds); }
  std::size_t PolicyOf(std::size_t n) const { return n / seeds % policies.size(); }
  std::size_t SeedOf(std::size_t n) const { return n % seeds; }
  emulator::ScenarioSpec Day(std::size_t n) const;
  std::string CellName(std::size_t cell) const;  // "load=0.9, nodes=16"
};

// Throws SettingsError.
Experiment ParseExperiment(const std::string& file, const std::string& text);
Experiment ReadExperiment(const std::string& path);

// A file whose only day is this one. What has its ordinary value is left out. Reading it gives the same day.
std::string WriteExperiment(const std::string& name, const std::string& title,
                            const emulator::ScenarioSpec& day);

}  // namespace ryeglade::experiment
