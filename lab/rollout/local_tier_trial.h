// Rollouts of a whole tier of real processes under load, measured: how long they take, what clients get
// meanwhile against before, how many nodes are in change at once; and drivers killed at random moments. Long
// runs by command, not for CI.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/rollout/local_tier.h"

namespace ryeglade::rollout_lab {

struct LocalTierTrial {
  std::string program;
  std::size_t nodes = 16;
  double rate = 20;  // requests a second at each node
  std::size_t max_concurrent = 2;
  int kills = 0;  // drivers killed, over as many rollouts as that takes; 0: one rollout whose driver lives
  std::uint64_t seed = 1;
};

struct LocalTierTrialResult {
  int rollouts = 0, done = 0, drivers_killed = 0;
  double seconds = 0;                                     // of the rollouts together
  double worth_share_before = 0, worth_share_during = 0;  // worth earned of the worth asked for
  std::uint64_t asked = 0, unanswered = 0, other = 0, overlapping_attempts = 0;
  std::size_t max_in_change = 0;
  std::vector<std::string> violations;
};

LocalTierTrialResult RunLocalTierTrial(const LocalTierTrial& trial);

}  // namespace ryeglade::rollout_lab
