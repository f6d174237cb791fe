// Checks whether a node could run a release, without changing anything on the node.
#pragma once

#include <string>

#include "rollout/release_model.h"

namespace ryeglade::rollout {

// Result of CheckRelease.
struct ReleaseCheck {
  bool good = false;   // the node could run the release
  std::string reason;  // why the release is not good; empty if it is
  std::string output;  // printed by the release's own `check-config`
};

// Lets the release's own program check its configuration, and asks the programs of `release` and `active`
// which protocol versions they support. Blocks for at most 30 s.
ReleaseCheck CheckRelease(const Release& release, const Release& active);

}  // namespace ryeglade::rollout
