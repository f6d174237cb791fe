// `ryeglade-lab day` and `compare`.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "lab/emulator/compare.h"

namespace CLI {
class App;
}

namespace ryeglade::emulator {

class Commands {
 public:
  // Adds them; must live as long as the app. `compare_files` is what `compare A B` does.
  Commands(CLI::App& app, std::function<int(const std::string& a, const std::string& b)> compare_files);
  bool chosen() const;
  int Run();  // its exit code; throws std::runtime_error

 private:
  void Options(CLI::App* command);
  ScenarioSpec Day() const;

  CLI::App *day_, *compare_;
  ScenarioSpec spec_;
  std::function<int(const std::string&, const std::string&)> compare_files_;
  std::vector<std::string> results_, faults_,
      policies_{"router", "random", "two-choices", "least-in-flight", "affinity", "oracle"};
  std::vector<double> loads_{1.0};
  std::string policy_ = "router", chart_, title_ = "policies against load";
  int seeds_ = 5, workers_ = 0;
  double cold_s_ = 0, cold_from_ = 0.2;
  bool markdown_ = false, series_ = false;
};

// "restart:60:10:0:20". Throws std::runtime_error naming what is wrong with it.
FaultSpec ReadFault(const std::string& text);

}  // namespace ryeglade::emulator
