// A rollout's plan in TOML: what changes, on which nodes, in which stages, and what stops the rollout. Each
// error names the file, the line, the key and a remedy.
#pragma once

#include <string>
#include <vector>

#include "rollout/canary_analysis_model.h"
#include "rollout/release_model.h"

namespace ryeglade::rollout {

// [[node]]
struct PlanNode {
  std::string name;
  std::string supervisor_address;  // ip:port; the key in the plan is `keeper`
  std::string zone;                // may be empty
};

// [[stage]]: a group of nodes; the next stage begins only after the verdict on this one.
struct Stage {
  std::vector<std::string> nodes;    // names of the nodes of this stage, in order
  Time soak = 60'000'000;            // microseconds from the last change until the stage can pass
  std::uint64_t min_requests = 200;  // concluded with the new release before the stage can pass
  std::size_t max_concurrent = 1;    // nodes that may change at the same time
};

struct Plan {
  std::string name;  // of the rollout, for logs and operators
  std::string text;  // of the file; supervisors store it, so that any driver can continue the rollout
  Release release;
  std::vector<PlanNode> nodes;
  std::vector<Stage> stages;
  CanaryThresholds thresholds;
  // Times are in microseconds.
  Time unreachable_after = 30'000'000;      // a node that has not answered for this long is skipped
  std::size_t max_skipped = 1;              // the rollout pauses if more nodes than this are skipped
  Time inconclusive_timeout = 600'000'000;  // pause after this long without enough requests for a verdict
  std::size_t rollback_concurrency = 2;     // nodes that may roll back at the same time
  // Status addresses (ip:port) of nodes with membership. If there are any, a node that is suspect or dead in
  // the cluster view is not changed, and no change begins while the view is in doubt. Empty: no view is used.
  std::vector<std::string> status_addresses;
};

// `file` is the name used in errors. Throws SettingsError.
Plan ParsePlan(const std::string& file, const std::string& text);

}  // namespace ryeglade::rollout
