// The sub-commands of `ryeglade rollout`. Each prints to stdout, returns the exit code of the process, and
// throws std::runtime_error if a file can't be read or written.
#pragma once

#include <string>

#include "app/rollout_command.h"
#include "rollout/plan.h"

namespace ryeglade::rollout {

// After this call, SIGINT and SIGTERM end DriveRollout and ShowStatus after the current step.
void HandleInterrupts();

// Sets the digests of the release's files, so that every supervisor starts identical files. A file that can't
// be read on this machine gets no digest.
void AddDigests(Release& release);

// Prints what would change and whether each node could run the release. Returns 0 if all can, otherwise 1.
int ShowPlan(const Plan& plan, const RolloutOptions& options);

// Runs the driver until the rollout has ended or the driver is superseded or interrupted. An interruption
// leaves the rollout in its state, and another `start` continues it. Returns 0 if completed, 3 if rolled
// back, 4 if superseded, 5 if interrupted.
int DriveRollout(Plan plan, const RolloutOptions& options);

// Stores an operator's directive at the supervisors, where the next driver reads it. It claims a new epoch
// for that, which supersedes a running driver; `start` continues the rollout. Returns 0 if a majority has
// stored the directive, otherwise 1.
int SetDirective(const Plan& plan, const std::string& directive, const RolloutOptions& options);

// Prints what the supervisors report; with `follow` each second, until all are done. Returns 0.
int ShowStatus(const Plan& plan, const RolloutOptions& options);

// Prints a record as a table, and writes the chart and the CSV file that the options name. Returns 1 if the
// record has no rounds, otherwise 0.
int ShowReport(const RolloutOptions& options);

}  // namespace ryeglade::rollout
