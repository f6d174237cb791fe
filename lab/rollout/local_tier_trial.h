// Measures rollouts over a tier of real processes under load: how long they take, which share of the
// requests' priority weight is served before and during them, and how many nodes change at once.
// Drivers may be killed at random moments. The runs are long and are started by command, not in CI.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/rollout/local_tier.h"

namespace ryeglade::rollout_lab {

struct LocalTierTrial {
  std::string program;  // path of `ryeglade`
  std::size_t nodes = 16;
  double rate = 20;                // requests a second at each node
  std::size_t max_concurrent = 2;  // nodes that may change at once
  int kills = 0;  // rollouts are run until this many drivers were killed; 0: one rollout without a kill
  std::uint64_t seed = 1;
};

struct LocalTierTrialResult {
  int rollouts = 0, done = 0, drivers_killed = 0;
  double seconds = 0;                                     // sum over the rollouts
  double worth_share_before = 0, worth_share_during = 0;  // priority weight of served requests / of all
  // Requests, counted as in LocalTier::RequestCounts.
  std::uint64_t asked = 0, unanswered = 0, other = 0, overlapping_attempts = 0;
  std::size_t max_in_change = 0;  // largest number of nodes that were changing at once
  std::vector<std::string> violations;
};

// Runs the rollouts one after another. The first one that fails ends the trial.
LocalTierTrialResult RunLocalTierTrial(const LocalTierTrial& trial);

}  // namespace ryeglade::rollout_lab
