// Every course that a rollout over a few nodes can take with up to so many faults: the program's own driver
// and keepers, each message of theirs lost, answered unheard or late, drivers that die, pause or come beside
// each other between any two messages, keepers and nodes that die, a stop at any moment. Checks in each state
// what must hold. docs/notes/rollout.md.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryeglade::rollout_lab {

struct RolloutExploreOptions {
  int nodes = 3;    // 2 to 5
  int faults = 2;   // in one course
  int rounds = 60;  // after which a course counts as having come to no end
  int workers = 0;  // threads; 0: as many as there are cores
  // Broken on purpose: "any-epoch", "no-lease", "no-token" (late commands are judged by the keeper's newest
  // claim alone), "greedy", "forgetful", "hasty" (a new driver does not wait). Empty: none.
  std::string variant;
};

struct RolloutExploration {
  std::uint64_t states = 0, steps = 0, executions = 0;  // different states; steps between them; ends reached
  std::map<std::string, std::uint64_t> ends;            // how courses ended
  struct Violation {
    std::string invariant, what, trace;
  };
  std::vector<Violation> violations;  // at most 200
  std::map<std::string, std::uint64_t> by_invariant;
};

// Throws std::runtime_error for a variant that does not exist.
RolloutExploration ExploreRollout(const RolloutExploreOptions& options);

}  // namespace ryeglade::rollout_lab
