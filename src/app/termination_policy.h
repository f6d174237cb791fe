// The schedule of a graceful shutdown (SIGTERM): when a node stops accepting connections and requests and
// when it exits, so that no accepted request is lost at SIGKILL.
#pragma once

#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

// Times since SIGTERM, in microseconds.
struct TerminationPlan {
  policy::Time accept_requests_until = 0;  // a request that arrives later is rejected immediately
  policy::Time close_idle_from = 0;        // from then on, connections without a request are closed
  policy::Time listen_until = 0;           // new connections are accepted until then
  policy::Time respond_by = 0;             // a stream whose response has not begun by then is rejected
  policy::Time exit_by = 0;        // the process exits then, unless a response is still being forwarded
  policy::Time earliest_kill = 0;  // SIGKILL does not come earlier
};

// `classes` are those in force. The earliest SIGKILL is after the longest time budget (at most 3 s count)
// plus 0.7 s. A request that arrives within the first 0.7 s may still be in progress then.
TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes);

// Takes the earlier of each time. Used if the settings change during the shutdown, as it is not known which
// of them determine SIGKILL.
TerminationPlan EarlierOf(const TerminationPlan& a, const TerminationPlan& b);

}  // namespace ryeglade
