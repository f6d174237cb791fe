// `ryeglade keep` and `ryeglade rollout plan|start|status|pause|resume|abort|back|report`.
#pragma once

#include <string>

namespace CLI {
class App;
}

namespace ryeglade {

struct RolloutOptions {
  // keep
  std::string node, zone, directory, control, program, config, settings, release_id = "first";
  double ready_within = 10, end_within = 15, lease = 10;
  // rollout
  std::string plan, why, driver, from;
  std::string record, chart, csv;
  double round = 0.5;  // seconds
  bool follow = false;
};

class RolloutCommand {
 public:
  RolloutCommand(CLI::App& app, RolloutOptions* options);
  bool chosen() const;
  int Run();

 private:
  RolloutOptions* o_;
  CLI::App *keep_, *rollout_, *plan_, *start_, *status_, *pause_, *resume_, *abort_, *back_, *report_;
};

// What this program speaks, as JSON: `ryeglade version --compat`.
std::string CompatText();

}  // namespace ryeglade
