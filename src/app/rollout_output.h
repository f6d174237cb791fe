// The text that `ryeglade rollout` prints.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "app/rollout_client.h"
#include "rollout/driver_model.h"
#include "rollout/plan.h"

namespace ryeglade::rollout {

// Returns one line for each node of the plan, as its supervisor reports it.
std::string StatusTable(const Plan& plan, const RolloutClient::Statuses& statuses);
// Returns one line for each comparison of the canary analysis.
std::string ComparisonTable(const CanaryResult& result);
// These return an event as "event=NAME key=value ...", without the time.
std::string ClusterViewEvent(const Plan& plan, const ClusterView& view);
std::string StateEvent(const Driver& driver);
// Returns the members that the plan does not name. They keep their release and belong to no cohort.
std::vector<std::string> MembersNotInPlan(const Plan& plan, const ClusterView& view);

// Prints the current time as Unix time in seconds, then the event, and flushes stdout.
void PrintEvent(const std::string& event);

}  // namespace ryeglade::rollout
