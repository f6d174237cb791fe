// The measures of a simulation: names, units, and whether higher or lower values are better.
#pragma once

#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

// One measure of a simulation. Its name is part of experiment files and results files.
struct Measure {
  std::string name;   // also the column in results files
  std::string label;  // in reports and charts, with the unit
  int better;         // 1: higher is better; -1: lower is better; 0: neither
  int digits;         // number of digits after the decimal point in tables
  // `counted_s` is the length of the simulation without its warm-up.
  double (*of)(const emulator::ScenarioResult& result, double counted_s);
};

const std::vector<Measure>& Measures();
std::vector<std::string> MeasureNames();
const Measure& MeasureOf(const std::string& name);  // throws std::runtime_error if unknown

}  // namespace ryeglade::experiment
