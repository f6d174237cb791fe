// Whether a node could run a release, found out without changing anything of the node.
#pragma once

#include <string>

#include "rollout/release_model.h"

namespace ryeglade::rollout {

struct ReleaseCheck {
  bool good = false;
  std::string reason;  // where it is not
  std::string output;  // of the release's own `check-config`
};

// The release's own program checks its configuration, and both programs report what they are compatible with.
// Blocks, for 30 s at most.
ReleaseCheck CheckRelease(const Release& release, const Release& active);

}  // namespace ryeglade::rollout
