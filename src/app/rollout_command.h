// The command line of `ryeglade keep` (a node's supervisor) and of
// `ryeglade rollout plan|start|status|pause|resume|abort|back|report`.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade {

struct RolloutOptions {
  // Of `keep`:
  std::string node, zone;  // names
  std::string directory;   // path of the supervisor's files
  std::string control;     // ip:port at which the supervisor listens
  // The release of the first start: paths and id.
  std::string program, config, settings, release_id = "first";
  double ready_timeout = 10, stop_timeout = 15;  // seconds
  // Of both:
  double lease = 10;  // of the supervisors, in seconds
  // Of `rollout`:
  std::string plan;                // path
  std::string reason;              // of a directive; empty: a default text
  std::string driver;              // name of this driver; empty: one is generated
  std::string source_address;      // local address to call supervisors from; empty: the system chooses it
  std::string record, chart, csv;  // paths; empty: none
  double round_interval = 0.5;     // seconds
  bool follow = false;             // repeat `status` until the rollout has ended
};

class RolloutCommand {
 public:
  // Adds the sub-commands. Both must outlive this object; the app fills the options when it parses its
  // command line.
  RolloutCommand(CLI::App& app, RolloutOptions* options);
  bool chosen() const;
  // Returns the exit code. Throws std::runtime_error.
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

// Returns the versions of all protocols and stored formats that this program supports, as JSON. Printed by
// `ryeglade version --compat`.
std::string CompatText();

}  // namespace ryeglade
