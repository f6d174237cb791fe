// Calls the supervisors and status addresses of a plan. Each function calls all nodes in parallel and blocks
// for little more than the timeout of one call.
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
  // By node name. nullopt: the supervisor did not answer, or not with a valid response.
  using Statuses = std::map<std::string, std::optional<SupervisorStatus>>;
  using Replies = std::map<std::string, std::optional<CommandReply>>;

  // `lease` is that of the supervisors, in seconds; it determines the timeout of a call. `plan` must outlive
  // this object. `source_address` is the local address to connect from; if empty, the system chooses it.
  RolloutClient(const Plan& plan, double lease, std::string source_address);

  // Asks every supervisor of the plan for its status.
  Statuses PollStatuses() const;
  // Sends the commands to their nodes' supervisors. `commands` may hold at most one command for each node.
  Replies Send(const std::vector<NodeCommand>& commands) const;
  // Merges the views of the cluster that the nodes at the plan's status addresses report.
  ClusterView PollClusterView() const;
  // Asks a supervisor whether its node could run a release. Returns the reason why not; empty if it could.
  std::string CheckRelease(const PlanNode& node, const Release& release) const;

 private:
  // Runs `call(i)` for each i below `n`, each on its own thread. Exceptions are ignored: such a call leaves
  // its result empty.
  static void InParallel(std::size_t n, const std::function<void(std::size_t)>& call);

  const Plan& plan_;
  int timeout_ms_;
  std::string source_address_;
};

// Returns the highest epoch that any supervisor reports; 0 if none answers or none has been claimed.
std::uint64_t HighestEpoch(const RolloutClient::Statuses& statuses);

}  // namespace ryeglade::rollout
