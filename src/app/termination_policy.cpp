#include "app/termination_policy.h"

#include <algorithm>

namespace ryeglade {
namespace {

using policy::Time;

constexpr Time kLongestCounted = 3'000'000;  // of the deadlines
constexpr Time kAfterDeadline = 700'000;     // from there to SIGKILL
constexpr Time kTakeUntil = 600'000;         // 0.1 s less than what may be under way at SIGKILL
constexpr Time kCloseIdle = 450'000;         // new connections keep coming for 0.2 to 0.4 s
constexpr Time kListenUntil = 1'000'000;     // and a little longer, should this process be held up
constexpr Time kLastMoment = 100'000;        // a request must not be under way when SIGKILL comes
constexpr Time kBeforeKill = 400'000;        // for a last answer to reach its client, where there is time

}  // namespace

TerminationPlan PlanTermination(const std::vector<policy::ClassSettings>& classes) {
  Time longest = 0;
  for (const policy::ClassSettings& c : classes) longest = std::max(longest, c.time_budget);
  TerminationPlan plan;
  plan.killed_from = std::min(longest, kLongestCounted) + kAfterDeadline;
  plan.answer_by = plan.killed_from - std::min(kBeforeKill, plan.killed_from / 4);
  plan.take_until = std::min(kTakeUntil, plan.answer_by);
  plan.close_idle = std::min(kCloseIdle, plan.answer_by);
  plan.listen_until = std::min(kListenUntil, plan.answer_by);
  plan.stop_by = plan.killed_from - std::min(kLastMoment, plan.killed_from / 8);
  return plan;
}

TerminationPlan Earlier(const TerminationPlan& a, const TerminationPlan& b) {
  TerminationPlan plan;
  plan.take_until = std::min(a.take_until, b.take_until);
  plan.close_idle = std::min(a.close_idle, b.close_idle);
  plan.listen_until = std::min(a.listen_until, b.listen_until);
  plan.answer_by = std::min(a.answer_by, b.answer_by);
  plan.stop_by = std::min(a.stop_by, b.stop_by);
  plan.killed_from = std::min(a.killed_from, b.killed_from);
  return plan;
}

}  // namespace ryeglade
