// A rollout's plan in TOML: what changes, on which nodes, in which stages, and what stops it. Each error
// names file, line, key and remedy.
#pragma once

#include <string>
#include <vector>

#include "rollout/canary_analysis_model.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout {

struct PlanNode {
  std::string name;
  std::string supervisor_address;  // ip:port; the plan's key is `keeper`
  std::string zone;
};

struct Stage {
  std::vector<std::string> nodes;    // by name, in order; of this stage only
  Time soak = 60'000'000;            // after its last node has changed
  std::uint64_t min_requests = 200;  // served by the new release before the stage can pass
  std::size_t max_concurrent = 1;    // nodes that change at the same time
};

struct Plan {
  std::string name;
  std::string text;  // as it was read: supervisors store it, so that any driver can continue
  Release release;
  std::vector<PlanNode> nodes;
  std::vector<Stage> stages;
  CanaryThresholds thresholds;
  Time unreachable_after = 30'000'000;      // a node that has not answered for so long is skipped,
  std::size_t max_skipped = 1;              // but the rollout pauses when more than so many are
  Time inconclusive_timeout = 600'000'000;  // pause after so long without enough traffic for a verdict
  std::size_t rollback_concurrency = 2;     // nodes that roll back at the same time
  // Status addresses (ip:port) of nodes with membership. Where there are some, the cluster view counts, too:
  // a suspect or dead node is not changed, and while the view is in doubt no change begins.
  std::vector<std::string> status_addresses;
};

// Throws SettingsError.
Plan ParsePlan(const std::string& file, const std::string& text);

}  // namespace ryeglade::rollout
