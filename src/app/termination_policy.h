// The times of a graceful shutdown (SIGTERM): when a node stops doing what, so that nothing that it has
// accepted is lost at SIGKILL.
#pragma once

#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

// Times from SIGTERM on, in microseconds.
struct TerminationPlan {
  policy::Time accept_requests_until = 0;  // a request that comes later is rejected at once
  policy::Time close_idle_from = 0;        // from here on connections without a request are closed
  policy::Time listen_until = 0;           // until then new connections are accepted, and none after it
  policy::Time respond_by = 0;             // a stream that has not begun its response by then is rejected
  policy::Time exit_by = 0;        // the process ends by itself, unless a response is still being forwarded
  policy::Time earliest_kill = 0;  // SIGKILL comes no sooner
};

// `classes` are those in force. SIGKILL comes as early as the longest time budget, counted as 3 s where it is
// longer, plus 0.7 s; a request that came within 0.7 s may still be under way then.
TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes);

// Each time the earlier of the two: for settings that change during the shutdown, as it is not known by which
// of them SIGKILL comes.
TerminationPlan EarlierOf(const TerminationPlan& a, const TerminationPlan& b);

}  // namespace ryeglade
