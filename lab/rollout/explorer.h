// Explores every execution of a rollout over a few nodes with up to a given number of faults, and checks the
// invariants in every state. The driver and the supervisors are the program's own. Faults: a message is lost,
// its reply is lost, or it arrives late; a driver dies or pauses, or another one starts beside it, between
// any two messages; a supervisor or a node's process dies; a stop is requested at any time. See
// docs/notes/rollout.md.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryeglade::rollout_lab {

struct RolloutExploreOptions {
  int nodes = 3;    // 2 to 5
  int faults = 2;   // largest number of faults in one execution
  int rounds = 60;  // an execution that has not ended after this many violates the invariant "ends"
  int workers = 0;  // threads; 0: as many as there are cores
  // A fault planted in the program's rules, to test that the checks detect it. Empty: none.
  //   "any-epoch"  supervisors accept commands of any epoch
  //   "no-lease"   claims never expire, and a new driver does not wait for older ones
  //   "no-token"   a delayed command is checked against the supervisor's newest claim only
  //   "greedy"     all nodes of a stage may change at once
  //   "forgetful"  a restarted supervisor has lost its last good release
  //   "hasty"      "no-lease" and "no-token" together
  std::string variant;
};

struct RolloutExploration {
  std::uint64_t states = 0;      // distinct states reached
  std::uint64_t steps = 0;       // transitions between states
  std::uint64_t executions = 0;  // explored to their end
  std::map<std::string, std::uint64_t>
      ends;  // number of executions by outcome; those that violate an invariant are left out
  struct Violation {
    std::string invariant;  // its name
    std::string what;       // describes the state that violates it
    std::string trace;      // the faults of the execution, in order
  };
  std::vector<Violation> violations;                  // the first 200
  std::map<std::string, std::uint64_t> by_invariant;  // number of executions that violate it
};

// Throws std::runtime_error for an unknown variant or a number of nodes outside 2 to 5.
RolloutExploration ExploreRollout(const RolloutExploreOptions& options);

}  // namespace ryeglade::rollout_lab
