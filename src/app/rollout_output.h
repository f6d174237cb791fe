// What `ryeglade rollout` prints for operators, as text.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/rollout_client.h"
#include "rollout/driver_model.h"
#include "rollout/plan.h"

namespace ryeglade::rollout {

// A line for each node of the plan, as its supervisor reports it.
std::string StatusTable(const Plan& plan, const RolloutClient::Statuses& statuses);
std::string ComparisonTable(const CanaryResult& result);
// `event=` lines, without their time.
std::string ClusterViewEvent(const Plan& plan, const ClusterView& view);
std::string StateEvent(const Driver& driver);
// Members that the plan does not name: they keep what they run, and belong to no cohort.
std::vector<std::string> MembersNotInPlan(const Plan& plan, const ClusterView& view);

// Prints an event at once, behind the time: Unix time in seconds.
void PrintEvent(const std::string& event);

}  // namespace ryeglade::rollout
