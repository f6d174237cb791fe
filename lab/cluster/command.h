// `ryeglade-lab cluster`: plays scenarios of several nodes with faults, with real processes or in virtual
// time.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/cluster/invariant_checker.h"

namespace CLI {
class App;
}

namespace ryeglade::cluster {

class Commands {
 public:
  explicit Commands(CLI::App& app);  // adds the subcommand; this object must live as long as `app`
  bool chosen() const;               // true if the command line has the subcommand
  // Returns the exit code: 0 if every scenario met its expectations, or the explorer found no violation,
  // otherwise 1. In virtual time only the detector "ryeglade" counts. Throws std::runtime_error.
  int Run(const std::string& node_program);

 private:
  int RunExplorer();
  int Emulate(const std::vector<std::string>& files);
  int PlayReal(const std::vector<std::string>& files, const std::string& node_program);
  void WriteEvents(const Scenario& scenario, const std::string& how, std::vector<NodeEvent> events) const;

  CLI::App* cluster_;
  std::vector<std::string> files_, detectors_{"ryeglade"};
  std::string out_, chart_, old_program_, logs_, period_, directory_ = "examples/cluster";
  bool list_ = false, emulate_ = false, explore_ = false, print_events_ = false;
  int seeds_ = 1, workers_ = 0, depth_ = 2;
  std::string variant_;
  std::uint64_t nodes_ = 0;
  double warm_up_ = 0, loss_ = 0;
};

}  // namespace ryeglade::cluster
