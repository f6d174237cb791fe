// When a node that was told to end (SIGTERM) stops what, so that nothing it has taken is lost at SIGKILL.
#pragma once

#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

// Times from SIGTERM on, in microseconds.
struct TerminationPlan {
  policy::Time take_until = 0;    // a request that comes later is refused at once
  policy::Time close_idle = 0;    // from here on connections without a request are closed
  policy::Time listen_until = 0;  // until then new connections are taken, and none after it
  policy::Time answer_by = 0;     // what has not begun by then is refused
  policy::Time stop_by = 0;       // the process ends by itself, unless a stream is still passing on
  policy::Time killed_from = 0;   // SIGKILL comes no sooner
};

// `classes` are those in force. SIGKILL comes as early as the longest deadline, counted as 3 s where it is
// longer, plus 0.7 s; a request that came within 0.7 s may still be under way then.
TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes);

// Each time the earlier of the two: for settings that change once the end has begun, as it is not known by
// which of them SIGKILL comes.
TerminationPlan Earlier(const TerminationPlan& a, const TerminationPlan& b);

}  // namespace ryeglade
