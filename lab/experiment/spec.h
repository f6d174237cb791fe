// An experiment, described by a TOML file: one scenario, the settings that are varied, the policies, and the
// number of seeds. Reading it checks every cell of the sweep before any simulation runs; errors name the
// file, the line, the key and the remedy. No I/O except in ReadExperiment.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

// A setting that is varied, with its values.
struct Axis {
  std::string key;    // "clients.rate", "fault.0.factor", or "load", a factor of clients.rate
  std::string label;  // name in tables and charts
  std::vector<std::string> values;
  std::vector<double> numbers;  // the values as numbers; empty if one of them is not numeric
};

// One combination of values of all axes.
struct Cell {
  std::vector<std::size_t> at;      // index of the value of each axis
  emulator::ScenarioSpec scenario;  // without policy and seed
};

struct Experiment {
  std::string name, title;
  std::string text;  // content of the file
  // Hash of everything that the simulations depend on. A results file with another fingerprint belongs to
  // another experiment.
  std::uint64_t fingerprint = 0;
  std::vector<Axis> axes;
  std::vector<std::string> policies;
  std::uint64_t first_seed = 1;
  std::size_t seeds = 1;
  std::vector<std::string> measures;  // shown in reports; see MeasureNames()
  std::vector<Cell> cells;            // the last axis varies fastest

  std::size_t simulations() const { return cells.size() * policies.size() * seeds; }
  // Simulations are numbered with seeds varying fastest, then policies, then cells.
  std::size_t CellOf(std::size_t n) const { return n / (policies.size() * seeds); }
  std::size_t PolicyOf(std::size_t n) const { return n / seeds % policies.size(); }
  std::size_t SeedOf(std::size_t n) const { return n % seeds; }
  emulator::ScenarioSpec Scenario(std::size_t n) const;
  std::string CellName(std::size_t cell) const;  // "load 0.9, nodes 16"; empty without axes
};

// Parses the text of an experiment file; `file` is its name in errors. Both throw SettingsError.
Experiment ParseExperiment(const std::string& file, const std::string& text);
Experiment ReadExperiment(const std::string& path);

// Returns an experiment file with only this scenario. Fields with their default are left out. Reading the
// file gives the same scenario.
std::string WriteExperiment(const std::string& name, const std::string& title,
                            const emulator::ScenarioSpec& scenario);

}  // namespace ryeglade::experiment
