#include "app/termination_policy.h"

#include <algorithm>

namespace ryeglade {
namespace {

using policy::Time;

// Microseconds.
constexpr Time kMaxCountedBudget = 3'000'000;  // longer time budgets count as this one
constexpr Time kKillAfterBudget = 700'000;     // from there to SIGKILL
constexpr Time kAcceptRequests = 600'000;      // 0.1 s less than what may be under way at SIGKILL
constexpr Time kKeepIdle = 450'000;            // new connections keep coming for 0.2 to 0.4 s
constexpr Time kListen = 1'000'000;            // and a little longer, should this process be held up
constexpr Time kExitBeforeKill = 100'000;      // a request must not be under way when SIGKILL comes
constexpr Time kRespondBeforeKill = 400'000;   // for a last response to reach its client, where there is time

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
