// When a node that was told to end (SIGTERM) stops what, so that nothing it has taken is lost at SIGKILL.
#pragma once

#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

// Times from SIGTERM on, in microseconds.
struct TerminationPlan {
  policy::Time take_until = 0;    // a request that comes later is refused at once
  policy::Time close_idle = 0;    // from here on connections without a request are closed
  policy::Time listen_until = 0;  // until then new connections are taken, even if nothing is left to do
  policy::Time answer_by = 0;     // what has not begun by then is refused
  policy::Time killed_from = 0;   // SIGKILL comes no sooner
};

// `classes` are those in force. SIGKILL comes as early as the longest deadline, counted as 3 s where it is
// longer, plus 0.7 s; a request that came within 0.7 s may still be under way then.
TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes);

}  // namespace ryeglade
