// Determines whether this node reaches a majority of the last stable view. In a large cluster regular probing
// visits each member only once in many intervals and would show a lost majority too late, so members are
// probed for this purpose before one is declared dead. In a small view all members that are not suspect are
// probed; in a large one a random sample of them. No I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"
#include "membership/suspicion_model.h"

namespace ryeglade::membership {

// Holds the census that is in progress, or else the last one.
class MajorityCensus {
 public:
  // Spans in microseconds.
  struct Timing {
    Time duration;        // from the start of the probes until the answers are counted
    Time valid_for;       // how long the result stands after `duration`; then a new census is begun
    Time probe_interval;  // a member that was reached within this span before the census needs no probe
  };
  using StartProbe = std::function<void(Member&)>;

  // Begins a census if the last one began before `since` or is too old. Returns false while the census is in
  // progress, and afterwards if it found no majority. A stable view of fewer than two members always has a
  // majority.
  bool HasMajority(Time now, Time since, const Timing& timing, MemberTable& table, const Suspects& suspects,
                   const RandomBits& random, const StartProbe& start_probe);

 private:
  void Begin(Time now, const Timing& timing, MemberTable& table, const Suspects& suspects,
             const RandomBits& random, const StartProbe& start_probe);
  bool CountMajority(const Timing& timing, const MemberTable& table, const Suspects& suspects) const;

  std::vector<std::string> sample_;  // names of the members that are counted
  bool complete_ = false;            // the sample has all live members of the stable view except suspects
  Time began_at_ = 0;                // of this census, microseconds; 0 before the first one
};

}  // namespace ryeglade::membership
