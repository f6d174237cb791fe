// Calls to the supervisors and status addresses of a plan. Each blocks, for little more than its time limit:
// the calls to all nodes run in parallel.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "rollout/cluster_view_model.h"
#include "rollout/driver_model.h"
#include "rollout/plan.h"

namespace ryeglade::rollout {

class RolloutClient {
 public:
  // By node name; null: no answer, or none that can be read.
  using Statuses = std::map<std::string, std::optional<SupervisorStatus>>;
  using Replies = std::map<std::string, std::optional<CommandReply>>;

  // `lease`: the supervisors', in seconds; a call's time limit follows from it. `plan` must outlive this.
  // `source_address`: to call from; empty: the machine's choice.
  RolloutClient(const Plan& plan, double lease, std::string source_address);

  Statuses PollStatuses() const;
  // At most one command for a node.
  Replies Send(const std::vector<NodeCommand>& commands) const;
  // What the nodes at the plan's status addresses say of the cluster, merged.
  ClusterView PollClusterView() const;
  // Whether a node could run a release. Empty: it could; else the reason why not.
  std::string CheckRelease(const PlanNode& node, const Release& release) const;

 private:
  // Calls `call(i)` for 0 to n - 1, each on a thread of its own; one that throws has no result.
  static void InParallel(std::size_t n, const std::function<void(std::size_t)>& call);

  const Plan& plan_;
  int timeout_ms_;
  std::string source_address_;
};

// The highest epoch that any supervisor knows; 0: none answers, or none has been claimed.
std::uint64_t HighestEpoch(const RolloutClient::Statuses& statuses);

}  // namespace ryeglade::rollout
