#include "app/rollout_output.h"

#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <iterator>
#include <set>

namespace ryeglade::rollout {
namespace {

// Returns what the other columns do not show: a pending release, a failed one, crashes; if there are none of
// these, the reason of the last directive.
std::string Note(const SupervisorStatus& status) {
  std::string note;
  const auto add = [&](const std::string& text) { note += (note.empty() ? "" : "; ") + text; };
  if (!status.pending.empty()) add("changing to " + status.pending);
  if (!status.failed_release.empty()) add(status.failed_release + ": " + status.failure_reason);
  if (status.crashes > 0) add(fmt::format("crashed {} times", status.crashes));
  return note.empty() ? status.directive_reason : note;
}

}  // namespace

std::string StatusTable(const Plan& plan, const RolloutClient::Statuses& statuses) {
  std::string table = fmt::format("{:<16} {:<8} {:<10} {:<16} {:<16} {:<8} {:<9} {}\n", "node", "zone",
                                  "phase", "runs", "last good", "epoch", "directive", "note");
  for (const PlanNode& node : plan.nodes) {
    const auto& status = statuses.at(node.name);
    if (!status) {
      table += fmt::format("{:<16} {:<8} {:<10}\n", node.name, node.zone, "no answer");
      continue;
    }
    table += fmt::format("{:<16} {:<8} {:<10} {:<16} {:<16} {:<8} {:<9} {}\n", node.name, node.zone,
                         Name(status->phase), status->active.id, status->last_good.id, status->epoch,
                         status->directive.empty() ? "-" : status->directive, Note(*status));
  }
  return table;
}

std::string ComparisonTable(const CanaryResult& result) {
  std::string table = fmt::format("{:<12} {:<12} {:>10} {:>10} {:>11} {:>11} {:>22}  {}\n", "class", "metric",
                                  "new n", "old n", "new", "old", "difference", "verdict");
  for (const CohortComparison& c : result.comparisons) {
    const std::string half_width = c.known() ? fmt::format("+- {:.4f}", c.half_width) : "+- ?";
    table += fmt::format("{:<12} {:<12} {:>10.0f} {:>10.0f} {:>11.4f} {:>11.4f} {:>+10.4f} {:>11}  {}\n",
                         c.class_name, c.metric, c.new_requests, c.old_requests, c.new_mean, c.old_mean,
                         c.difference, half_width, c.worse ? "WORSE" : "-");
  }
  return table;
}

std::vector<std::string> MembersNotInPlan(const Plan& plan, const ClusterView& view) {
  std::set<std::string> planned;
  for (const PlanNode& node : plan.nodes) planned.insert(node.name);
  std::vector<std::string> names;
  std::set_difference(view.known.begin(), view.known.end(), planned.begin(), planned.end(),
                      std::back_inserter(names));
  return names;
}

std::string ClusterViewEvent(const Plan& plan, const ClusterView& view) {
  std::string event =
      fmt::format("event=tier answers={} sure={} asked={}", view.answers, view.confident, view.polled);
  for (const std::string& name : view.suspect) event += " suspect=" + name;
  for (const std::string& name : view.dead) event += " dead=" + name;
  for (const std::string& name : MembersNotInPlan(plan, view)) event += " not_in_plan=" + name;
  return event;
}

std::string StateEvent(const Driver& driver) {
  std::string event =
      fmt::format("event=course course={} stage={} in_change={} why=\"{}\"", Name(driver.state()),
                  driver.stage() + 1, driver.changing_nodes(), driver.reason());
  for (const std::string& name : driver.skipped_nodes()) event += " passed_over=" + name;
  for (const std::string& name : driver.deferred_nodes()) event += " left_alone=" + name;
  return event;
}

void PrintEvent(const std::string& event) {
  const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
      std::chrono::system_clock::now().time_since_epoch());
  std::printf("%lld.%03d %s\n", static_cast<long long>(now.count() / 1000),
              static_cast<int>(now.count() % 1000), event.c_str());
  std::fflush(stdout);
}

}  // namespace ryeglade::rollout
