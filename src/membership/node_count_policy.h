// How many nodes the decision module is told there are. A higher number is announced at once: each node then
// takes less, which is safe. A lower one only once the view has been stable for long enough, and never while
// a partition is suspected: members that can't be reached may live and still send. No I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

// The view, as far as it matters here.
struct NodeCountFacts {
  std::size_t live = 1;  // this node among them
  bool joined = false;
  bool partition_suspected = false;
  bool stable = false;
  Time stable_since = 0;
};

// Remembers what was announced last.
class NodeCountPolicy {
 public:
  // `announced`: what the module was built with. `shrink_after`: microseconds.
  NodeCountPolicy(std::size_t announced, Time shrink_after)
      : announced_(announced), shrink_after_(shrink_after) {}
  // The number to announce now; null: no change. The first stable view counts like any other: what the
  // settings said holds until then.
  std::optional<std::size_t> Update(Time now, const NodeCountFacts& facts);
  std::size_t announced() const { return announced_; }

 private:
  std::size_t announced_;
  Time shrink_after_;
};

}  // namespace ryeglade::membership
