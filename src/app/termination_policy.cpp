#include "app/termination_policy.h"

#include <algorithm>

namespace ryeglade {
namespace {

using policy::Time;

// All in microseconds.
constexpr Time kMaxCountedBudget = 3'000'000;  // a longer time budget counts as this
constexpr Time kKillAfterBudget = 700'000;     // from the end of that time budget to SIGKILL
constexpr Time kAcceptRequests =
    600'000;  // 0.1 s less than the time in which a request may still be in progress at SIGKILL
constexpr Time kKeepIdle = 450'000;        // clients keep opening connections for 0.2 to 0.4 s after SIGTERM
constexpr Time kListen = 1'000'000;        // longer than those 0.4 s, in case this process is delayed
constexpr Time kExitBeforeKill = 100'000;  // no request may be in progress at SIGKILL
constexpr Time kRespondBeforeKill =
    400'000;  // for the last response to reach its client; less if SIGKILL comes soon

}  // namespace

TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes) {
  Time longest = 0;
  for (const policy::ClassSettings& c : classes) longest = std::max(longest, c.time_budget);
  TerminationPlan plan;
  plan.earliest_kill = std::min(longest, kMaxCountedBudget) + kKillAfterBudget;
  plan.respond_by = plan.earliest_kill - std::min(kRespondBeforeKill, plan.earliest_kill / 4);
  plan.accept_requests_until = std::min(kAcceptRequests, plan.respond_by);
  plan.close_idle_from = std::min(kKeepIdle, plan.respond_by);
  plan.listen_until = std::min(kListen, plan.respond_by);
  plan.exit_by = plan.earliest_kill - std::min(kExitBeforeKill, plan.earliest_kill / 8);
  return plan;
}

TerminationPlan EarlierOf(const TerminationPlan& a, const TerminationPlan& b) {
  TerminationPlan plan;
  plan.accept_requests_until = std::min(a.accept_requests_until, b.accept_requests_until);
  plan.close_idle_from = std::min(a.close_idle_from, b.close_idle_from);
  plan.listen_until = std::min(a.listen_until, b.listen_until);
  plan.respond_by = std::min(a.respond_by, b.respond_by);
  plan.exit_by = std::min(a.exit_by, b.exit_by);
  plan.earliest_kill = std::min(a.earliest_kill, b.earliest_kill);
  return plan;
}

}  // namespace ryeglade
