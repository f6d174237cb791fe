// `ryeglade-lab day` and `ryeglade-lab compare`.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/emulator/compare.h"

namespace CLI {
class App;
}

namespace ryeglade::emulator {

// The sub-commands `day` and `compare`. Their options are stored in this object, which must outlive every use
// of `app`.
class Commands {
 public:
  // Adds the sub-commands to `app`. `compare_files` runs `compare A B` and returns the exit code.
  Commands(CLI::App& app, std::function<int(const std::string& a, const std::string& b)> compare_files);
  bool chosen() const;  // one of the sub-commands is on the command line
  // Runs the chosen sub-command and returns the exit code. Throws std::runtime_error.
  int Run();

 private:
  void AddScenarioOptions(CLI::App* command);
  ScenarioSpec Scenario() const;

  CLI::App *day_, *compare_;
  ScenarioSpec spec_;
  std::function<int(const std::string&, const std::string&)> compare_files_;
  std::vector<std::string> results_, faults_,
      policies_{"router", "random", "two-choices", "least-in-flight", "affinity", "oracle"};
  std::vector<double> loads_{1.0};
  std::string policy_ = "router", chart_, title_ = "policies against load";
  int seeds_ = 5, workers_ = 0;
  double slow_start_s_ = 0, slow_start_min_share_ = 0.2;
  bool markdown_ = false, series_ = false;
};

// Parses a fault like "restart:60:10:0:20"; times are in seconds. Throws std::runtime_error that names the
// invalid part.
FaultSpec ReadFault(const std::string& text);

}  // namespace ryeglade::emulator
