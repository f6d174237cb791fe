// Rollouts of a whole tier of real processes under load, measured: how long they take, what clients get
// meanwhile against before, how many nodes are in change at once; and drivers killed at random moments. Long
// runs by command, not for CI.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "lab/rollout/local_tier.h"

namespace ryeglade::rollout_lab {

struct RealTrial {
  std::string program;
  std::size_t nodes = 16;
  double rate = 20;  // requests a second at each node
  std::size_t at_once = 2;
  int kills = 0;  // drivers killed, over as many rollouts as that takes; 0: one rollout whose driver lives
  std::uint64_t seed = 1;
};

struct RealTrialResult {
  int rollouts = 0, done = 0, killed = 0;
  double seconds = 0;             // of the rollouts together
  double before = 0, during = 0;  // worth earned of the worth asked for
  std::uint64_t asked = 0, unheard = 0, other = 0, two_at_once = 0;
  std::size_t most_in_change = 0;
  std::vector<std::string> broken;
};

RealTrialResult PlayReal(const RealTrial& trial);

}  // namespace ryeglade::rollout_lab
