// The measures of a simulation: names, units, and whether higher or lower values are better.
#pragma once

#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

struct Measure {
  std::string name;   // also its column in the results
  std::string label;  // with its unit
  int better;         // 1: higher is better; -1: lower is better; 0: neither
  int digits;         // after the decimal point, in tables
  // `counted_s` is the length of the simulation without its warm-up.
  double (*of)(const emulator::ScenarioResult& result, double counted_s);
};

const std::vector<Measure>& Measures();
std::vector<std::string> MeasureNames();
const Measure& MeasureOf(const std::string& name);  // throws std::runtime_error if unknown

}  // namespace ryeglade::experiment
