// Plays every schedule of faults up to a depth over the membership models of a few nodes, and checks the
// invariants at each tick. The schedules are not a sample: each sequence of faults is played.
// docs/notes/membership.md states which nodes and depths were explored.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace ryeglade::cluster {

struct ExploreOptions {
  std::size_t nodes = 3;
  int depth = 2;           // number of faults in a schedule
  std::uint64_t seed = 1;  // of the nodes' random choices
  int workers = 0;         // number of threads; 0 means as many as cores
  std::string variant;  // a variant with a defect: "no-refute", "no-order", "no-memory", "no-majority"; empty
                        // for none
  std::size_t stop_at = 10;  // number of schedules with a violation after which the exploration stops
};

struct Violation {
  std::string invariant, schedule, what;  // the invariant's name, the faults in order, and a description
};

struct ExplorationResult {
  std::uint64_t schedules = 0, ticks = 0;
  std::uint64_t states = 0;  // number of distinct states, compared by what each node believes of each other
  std::uint64_t deaths = 0, returns = 0, doubts = 0;  // reports of dead and returned members, and of doubt
  std::vector<Violation> violations;
  std::map<std::string, std::uint64_t> by_invariant;  // number of schedules that broke each invariant
};

// The invariants:
//   incarnation   in one view, the incarnation of a member never decreases
//   resurrection  in one view, a dead member is alive again only with a higher incarnation
//   minority      a node removes a member only while it reaches a majority of its stable view
//   one-view      within 120 periods of the last fault, the view of every running node consists of exactly
//                 the running nodes, and no node suspects a partition; not checked if at most half of the
//                 nodes are running
ExplorationResult Explore(const ExploreOptions& options);

}  // namespace ryeglade::cluster
