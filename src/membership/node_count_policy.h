// Decides which node count is announced to the decision module. A higher count is announced at once: each
// node then uses a smaller part of each replica's capacity, which is safe. A lower count is announced only
// after the view has been stable for long enough, and never while a partition is suspected, because members
// that can't be reached may still be running and sending requests. No I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// The state of the membership view that the policy depends on.
struct NodeCountFacts {
  std::size_t live = 1;  // live members, including this node
  bool joined = false;
  bool partition_suspected = false;
  bool stable = false;
  Time stable_since = 0;  // microseconds; meaningful only if `stable`
};

// Keeps the count that was announced last.
class NodeCountPolicy {
 public:
  // `announced` is the count with which the decision module was built. `shrink_after` is the time in
  // microseconds for which the view must have been stable before a lower count is announced.
  NodeCountPolicy(std::size_t announced, Time shrink_after)
      : announced_(announced), shrink_after_(shrink_after) {}
  // Returns the count to announce now, or nullopt if it does not change. The first stable view is treated
  // like any other: until then the count from the settings stays announced.
  std::optional<std::size_t> Update(Time now, const NodeCountFacts& facts);
  std::size_t announced() const { return announced_; }

 private:
  std::size_t announced_;
  Time shrink_after_;
};

}  // namespace ryeglade::membership
