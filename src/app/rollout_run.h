// What the sub-commands of `ryeglade rollout` do. Each prints to stdout, returns the process's exit code, and
// throws std::runtime_error for what can't be read or written.
#pragma once

#include <string>

#include "app/rollout_command.h"
#include "rollout/plan.h"

namespace ryeglade::rollout {

// From here on SIGINT and SIGTERM end DriveRollout and ShowStatus after the step at hand.
void HandleInterrupts();

// Fills the digests of what changes, so that every supervisor starts the very same files; a path that is not
// on this machine is left to each supervisor.
void AddDigests(Release& release);

// What would change, and whether each node could run it. 0: it can be started.
int ShowPlan(const Plan& plan, const RolloutOptions& options);

// Runs the driver until it has ended, is superseded or is interrupted (which leaves all as it is; another
// `start` continues). 0: completed; 3: rolled back; 4: superseded; 5: interrupted.
int DriveRollout(Plan plan, const RolloutOptions& options);

// Stores an operator's directive at the supervisors under an epoch of its own: whoever drives reads it there.
// The driver that ran is superseded by it; `start` continues. 0: a majority has stored it.
int SetDirective(const Plan& plan, const std::string& directive, const RolloutOptions& options);

// What the supervisors report; with `follow` again each second, until all are done.
int ShowStatus(const Plan& plan, const RolloutOptions& options);

// A record as a table, and as a chart or a file of columns where the options ask for it. 0: it has rounds.
int ShowReport(const RolloutOptions& options);

}  // namespace ryeglade::rollout
