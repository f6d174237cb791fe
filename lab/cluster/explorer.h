// Every schedule of faults up to a depth over a few nodes' membership parts, with what must hold checked at
// each tick. Not a sample: each sequence of choices is played. docs/notes/membership.md states what was
// visited.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryeglade::cluster {

struct ExploreOptions {
  std::size_t nodes = 3;
  int depth = 2;             // choices in a row
  std::uint64_t seed = 1;    // of what the nodes draw
  int workers = 0;           // 0: as many as there are cores
  std::string variant;       // a broken one: "no-refute", "no-order", "no-memory", "no-majority"; empty: ours
  std::size_t stop_at = 10;  // broken schedules, then the rest is left out
};

struct Violation {
  std::string invariant, schedule, what;
};

struct ExplorationResult {
  std::uint64_t schedules = 0, ticks = 0;
  std::uint64_t states = 0;  // different ones, as far as who thinks what of whom
  std::uint64_t deaths = 0, returns = 0, doubts = 0;
  std::vector<Violation> violations;
  std::map<std::string, std::uint64_t> by_invariant;
};

// The invariants: "incarnation" (a member's, in one view, never goes back), "resurrection" (nobody dead is
// alive again in one view without a higher incarnation), "minority" (no node that reaches no majority of its
// settled view removes anybody), "one-view" (once faults stop, all running nodes see exactly the running
// nodes within 120 periods, nobody in doubt).
ExplorationResult Explore(const ExploreOptions& options);

}  // namespace ryeglade::cluster
