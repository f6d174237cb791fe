// How many nodes the decision module is told there are. More are told at once: each then takes less, which is
// safe. Fewer only once the view has been settled for long enough, and never from a view in doubt: those that
// can't be reached may live and still send. No I/O, no clock.
#pragma once

#include <cstddef>
#include <optional>

#include "ryeglade/router.h"

namespace ryeglade::membership {

using policy::Time;

struct TierFacts {
  std::size_t live = 1;  // this node among them
  bool joined = false, in_doubt = false, settled = false;
  Time settled_since = 0;
};

class TierPolicy {
 public:
  // `told`: what the module was built with. `shrink_after`: microseconds.
  TierPolicy(std::size_t told, Time shrink_after) : told_(told), shrink_after_(shrink_after) {}
  // The number to tell now; null: nothing new. The first settled view counts like any other: what the
  // settings said holds until then.
  std::optional<std::size_t> Look(Time now, const TierFacts& facts);
  std::size_t told() const { return told_; }

 private:
  std::size_t told_;
  Time shrink_after_;
};

}  // namespace ryeglade::membership
