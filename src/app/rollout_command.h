// The command line of `ryeglade keep` (a node's supervisor) and of
// `ryeglade rollout plan|start|status|pause|resume|abort|back|report`.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade {

struct RolloutOptions {
  // keep
  std::string node, zone, directory, control, program, config, settings, release_id = "first";
  double ready_timeout = 10, stop_timeout = 15;  // seconds
  // both
  double lease = 10;  // seconds
  // rollout
  std::string plan;                // path
  std::string reason;              // of a directive
  std::string driver;              // empty: one is made up
  std::string source_address;      // to call supervisors from; empty: the machine's choice
  std::string record, chart, csv;  // paths; empty: none
  double round_interval = 0.5;     // seconds
  bool follow = false;
};

class RolloutCommand {
 public:
  // Both must outlive this; the options are filled when the application parses its command line.
  RolloutCommand(CLI::App& app, RolloutOptions* options);
  bool chosen() const;
  // The exit code. Throws std::runtime_error.
  int Run();

 private:
  void AddSupervisorCommand(CLI::App& app);
  void AddRolloutCommands(CLI::App& app);
  CLI::App* AddPlanCommand(const char* name, const char* description);
  int RunSupervisorCommand() const;

  RolloutOptions* options_;
  CLI::App* keep_ = nullptr;
  CLI::App* rollout_ = nullptr;
  CLI::App *plan_ = nullptr, *start_ = nullptr, *status_ = nullptr, *pause_ = nullptr, *resume_ = nullptr,
           *abort_ = nullptr, *back_ = nullptr, *report_ = nullptr;
};

// The versions of every protocol and stored form that this program speaks, as JSON: `ryeglade version
// --compat`.
std::string CompatText();

}  // namespace ryeglade
