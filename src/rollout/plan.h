// A rollout's plan in TOML: what changes, on which nodes, in which stages, and what stops it. Each error
// names file, line, key and remedy.
#pragma once

#include <string>
#include <vector>

#include "rollout/canary_analysis_model.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout {

struct PlanNode {
  std::string name, keeper, zone;  // keeper: ip:port
};

struct Stage {
  std::vector<std::string> nodes;  // by name, in order; of this stage only
  Time soak = 60'000'000;          // after its last node has changed
  std::uint64_t requests = 200;    // least number by the new cohort before a verdict
  std::size_t at_once = 1;         // most nodes in change together
};

struct Plan {
  std::string name, text;  // as it was read: keepers keep it, so that any driver may go on
  Release release;
  std::vector<PlanNode> nodes;
  std::vector<Stage> stages;
  Guards guards;
  Time unreached_after = 30'000'000;  // a node that does not answer for so long is passed over,
  std::size_t most_passed_over = 1;   // but no more than so many
  Time ask_after = 600'000'000;       // without enough traffic for a verdict for so long: pause and ask
  std::size_t back_at_once = 2;
  // Status addresses of nodes whose membership is on, ip:port. Where there are some, what the nodes say of
  // each other counts too: a suspect or dead one is not changed, and a view in doubt begins nothing.
  std::vector<std::string> status;
};

// Throws SettingsError.
Plan ParsePlan(const std::string& file, const std::string& text);

}  // namespace ryeglade::rollout
