// Whether this node reaches a majority of the last stable view. Where each member is probed once in many
// intervals that is known late, so members are probed on purpose before one is declared dead. Small views are
// probed whole; of large ones a sample stands for those that nobody suspects. No I/O, no clock.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"
#include "membership/suspicion_model.h"

namespace ryeglade::membership {

// The census that is under way, or the last one.
class MajorityCensus {
 public:
  // All in microseconds.
  struct Timing {
    Time duration;        // from the probes until answers are counted
    Time valid_for;       // after that the census is repeated
    Time probe_interval;  // members that were reached this lately need no probe
  };
  using StartProbe = std::function<void(Member&)>;

  // Begins a census if none began after `since` or the last one is too old; false until it is over, or if it
  // found no majority.
  bool HasMajority(Time now, Time since, const Timing& timing, MemberTable& table, const Suspects& suspects,
                   const RandomBits& random, const StartProbe& start_probe);

 private:
  void Begin(Time now, const Timing& timing, MemberTable& table, const Suspects& suspects,
             const RandomBits& random, const StartProbe& start_probe);
  bool CountMajority(const Timing& timing, const MemberTable& table, const Suspects& suspects) const;

  std::vector<std::string> sample_;  // names
  bool complete_ = false;            // the sample is the whole stable view but for suspects
  Time began_at_ = 0;
};

}  // namespace ryeglade::membership
