// What a day is judged by: names, units, and which way is better.
#pragma once

#include <string>
#include <vector>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

struct Measure {
  std::string name;   // also its column in results
  std::string label;  // with its unit
  int better;         // 1: more is better; -1: less; 0: neither
  int digits;         // after the point, in tables
  double (*of)(const emulator::ScenarioResult& day, double counted_s);
};

const std::vector<Measure>& Measures();
std::vector<std::string> MeasureNames();
const Measure& MeasureOf(const std::string& name);  // throws std::runtime_error

}  // namespace ryeglade::experiment
