#include "lab/cluster/invariant_checker.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <limits>

#include "base/gnuplot.h"

namespace ryeglade::cluster {
namespace {

bool In(const Nodes& nodes, std::size_t node) { return std::binary_search(nodes.begin(), nodes.end(), node); }

enum class ViewChange : std::uint8_t { kNone, kAdds, kRemoves, kSuspects };

// How an event changes the set of members in the observer's view.
ViewChange ViewChangeOf(const std::string& what) {
  if (what == "member-alive" || what == "member-returned" || what == "member-refuted" ||
      what == "member-cleared" || what == "member-restarted" || what == "member-leaving")
    return ViewChange::kAdds;
  if (what == "member-dead" || what == "member-left") return ViewChange::kRemoves;
  return what == "member-suspect" ? ViewChange::kSuspects : ViewChange::kNone;
}

}  // namespace

double Quantile(std::vector<double> values, double q) {
  if (values.empty()) return std::numeric_limits<double>::quiet_NaN();
  std::sort(values.begin(), values.end());
  const auto at = static_cast<std::size_t>(std::lround(q * static_cast<double>(values.size() - 1)));
  return values[std::min(at, values.size() - 1)];
}

InvariantChecker::InvariantChecker(const Scenario& scenario)
    : scenario_(scenario), process_spans_(scenario.nodes) {
  for (std::size_t i = 0; i < scenario.nodes; ++i) nodes_by_name_[scenario.NodeName(i)].push_back(i);
}

void InvariantChecker::AddEvent(NodeEvent event) { events_.push_back(std::move(event)); }

void InvariantChecker::ProcessStarted(double at, std::size_t node) { process_spans_[node].push_back({at}); }

void InvariantChecker::ProcessEnded(double at, std::size_t node) {
  if (!process_spans_[node].empty())
    process_spans_[node].back().to = std::min(process_spans_[node].back().to, at);
}

bool InvariantChecker::RunsAt(std::size_t node, double at) const {
  return std::any_of(process_spans_[node].begin(), process_spans_[node].end(),
                     [&](const TimeSpan& s) { return at >= s.from && at < s.to; });
}

bool InvariantChecker::BelongsToCluster(std::size_t node) const {
  return !In(scenario_.other_cluster, node) && !In(scenario_.expect.refused, node);
}

const std::vector<std::size_t>& InvariantChecker::NodesNamed(const std::string& member) const {
  static const std::vector<std::size_t> kNone;
  const auto it = nodes_by_name_.find(member);
  return it == nodes_by_name_.end() ? kNone : it->second;
}

Verdict InvariantChecker::Check(double end) const {
  Verdict v;
  Figures& f = v.figures;
  std::vector<NodeEvent> all = events_;
  std::stable_sort(all.begin(), all.end(),
                   [](const NodeEvent& a, const NodeEvent& b) { return a.at < b.at; });
  const double faults_end = scenario_.FaultsEndAt();

  std::map<std::pair<std::size_t, std::string>, std::size_t> returns;
  std::set<std::size_t> doubted, refused, invented;
  // The first report of each death, by observer and member.
  std::map<std::pair<std::size_t, std::string>, double> death_reports;
  std::vector<std::set<std::string>> views(scenario_.nodes);
  for (const NodeEvent& s : all) {
    if (s.what == "view-in-doubt") {
      if (s.at >= 0) ++f.doubts, doubted.insert(s.observer);
    } else if (s.what == "name-taken") {
      ++f.refusals;
      refused.insert(s.observer);
    } else if (s.what == "member-suspect") {
      ++f.suspicions;
    } else if (s.what == "member-returned") {
      // A return after a real absence is not flapping; Expect::most_returns sets how many are allowed.
      ++returns[{s.observer, s.member}];
    } else if (s.what == "member-dead") {
      ++f.deaths;
      const auto& who = NodesNamed(s.member);
      bool runs = false, allowed = who.empty();
      for (const std::size_t n : who) {
        runs = runs || RunsAt(n, s.at);
        allowed = allowed || In(scenario_.expect.may_remove, n) || In(scenario_.expect.removed, n);
      }
      if (runs && !allowed) ++f.false_deaths;
      death_reports.emplace(std::pair{s.observer, s.member}, s.at);
      if (s.at >= 0)
        death_reports[{s.observer, s.member}] = std::min(death_reports[{s.observer, s.member}], s.at);
    }
    if (ViewChangeOf(s.what) == ViewChange::kAdds && NodesNamed(s.member).empty())
      invented.insert(s.observer);
  }
  for (const auto& [pair, n] : returns) f.most_returns = std::max(f.most_returns, n);

  // Finds how long each node that ran until the report was due took to report each expected death.
  std::size_t pairs = 0, missed = 0;
  for (const std::size_t gone : scenario_.expect.removed) {
    double since = std::numeric_limits<double>::quiet_NaN();
    for (const TimeSpan& s : process_spans_[gone]) {
      if (s.to < 1e17 && std::isnan(since)) since = s.to;
    }
    if (std::isnan(since)) {  // the process did not end: it was cut off or paused
      for (const Fault& fault : scenario_.faults) {
        if (In(fault.nodes, gone) || In(fault.to, gone) || In(fault.from, gone))
          since = std::isnan(since) ? fault.at : std::min(since, fault.at);
      }
    }
    for (std::size_t o = 0; o < scenario_.nodes; ++o) {
      const double until = std::isnan(since) ? end : std::min(end, since + scenario_.expect.removed_within);
      if (o == gone || In(scenario_.expect.removed, o) || In(scenario_.expect.in_doubt, o) ||
          !BelongsToCluster(o) || !RunsAt(o, since) || !RunsAt(o, until - 0.01))
        continue;
      ++pairs;
      const auto it = death_reports.find({o, scenario_.NodeName(gone)});
      if (it == death_reports.end() || it->second > until) {
        ++missed;
        v.violations.push_back(fmt::format("{} did not report within {} periods that {} is dead",
                                           scenario_.NodeName(o), scenario_.expect.removed_within,
                                           scenario_.NodeName(gone)));
      } else {
        f.detection.push_back(it->second - since);
      }
    }
  }
  f.missed = pairs == 0 ? 0 : static_cast<double>(missed) / static_cast<double>(pairs);

  // Finds the time from which on every running node's view consists of exactly the running nodes.
  std::set<std::string> running;
  for (std::size_t i = 0; i < scenario_.nodes; ++i) {
    if (RunsAt(i, end) && BelongsToCluster(i)) running.insert(scenario_.NodeName(i));
  }
  // The state of one observer's view, updated with each event.
  struct ViewState {
    bool counts = false;    // the observer runs at the end and belongs to the cluster
    bool in_doubt = false;  // its latest report was that its view is in doubt
    std::size_t wrong = 0;  // number of names that the view lacks or wrongly contains
    bool good() const { return !counts || (wrong == 0 && !in_doubt); }
  };
  std::vector<ViewState> view_states(scenario_.nodes);
  std::size_t wrong_views = 0;
  for (std::size_t i = 0; i < scenario_.nodes; ++i) {
    view_states[i].counts = RunsAt(i, end) && BelongsToCluster(i);
    view_states[i].wrong = running.size() - running.count(scenario_.NodeName(i));
    wrong_views += view_states[i].good() ? 0 : 1;
  }
  double since = -1;
  bool agreed = false;
  std::size_t next = 0;
  const auto apply = [&](const NodeEvent& s) {
    ViewState& of = view_states[s.observer];
    wrong_views -= of.good() ? 0 : 1;
    if (s.what == "started") {
      views[s.observer].clear();
      of.in_doubt = false;
      of.wrong = running.size() - running.count(scenario_.NodeName(s.observer));
    }
    if (s.what == "view-in-doubt") of.in_doubt = true;
    if (s.what == "view-sure") of.in_doubt = false;
    const ViewChange change = ViewChangeOf(s.what);
    const bool changed = s.member != scenario_.NodeName(s.observer) &&
                         (change == ViewChange::kAdds      ? views[s.observer].insert(s.member).second
                          : change == ViewChange::kRemoves ? views[s.observer].erase(s.member) > 0
                                                           : false);
    if (changed)
      of.wrong = running.contains(s.member) == (change == ViewChange::kAdds) ? of.wrong - 1 : of.wrong + 1;
    wrong_views += of.good() ? 0 : 1;
  };
  while (next < all.size() && all[next].at <= faults_end) apply(all[next++]);
  agreed = wrong_views == 0;
  since = faults_end;
  for (; next < all.size(); ++next) {
    apply(all[next]);
    const bool agree_now = wrong_views == 0;
    if (agree_now && !agreed) since = all[next].at;
    agreed = agree_now;
  }
  f.one_view = agreed ? std::max(0.0, since - faults_end) : -1;
  if (!agreed) {
    std::string which;
    for (std::size_t i = 0; i < scenario_.nodes; ++i) {
      if (!RunsAt(i, end) || !BelongsToCluster(i)) continue;
      std::set<std::string> view = views[i];
      view.insert(scenario_.NodeName(i));
      if (view_states[i].good()) continue;
      std::string lacks, extra;
      for (const auto& name : running) lacks += view.contains(name) ? "" : " " + name;
      for (const auto& name : view) extra += running.contains(name) ? "" : " " + name;
      which +=
          fmt::format("; {}{}{}{}{}{}", scenario_.NodeName(i), view_states[i].in_doubt ? " in doubt" : "",
                      lacks.empty() ? "" : " lacks", lacks, extra.empty() ? "" : " still has", extra);
      if (which.size() > 400) break;
    }
    v.violations.push_back(fmt::format("the views differ at the end{}", which));
  } else if (f.one_view > scenario_.expect.one_view_within) {
    v.violations.push_back(fmt::format("the views agreed only after {:.1f} periods, limit {}", f.one_view,
                                       scenario_.expect.one_view_within));
  }
  if (f.false_deaths > scenario_.expect.most_false)
    v.violations.push_back(
        fmt::format("{} deaths reported of members that were running and reachable, limit {}", f.false_deaths,
                    scenario_.expect.most_false));
  if (f.most_returns > scenario_.expect.most_returns)
    v.violations.push_back(fmt::format("a member returned {} times to one view, limit {}", f.most_returns,
                                       scenario_.expect.most_returns));
  for (const std::size_t n : scenario_.expect.in_doubt) {
    if (!doubted.contains(n))
      v.violations.push_back(
          fmt::format("{} never reported that its view is in doubt", scenario_.NodeName(n)));
  }
  for (const std::size_t n : scenario_.expect.refused) {
    if (!refused.contains(n))
      v.violations.push_back(
          fmt::format("node {} was not told that its name {} is taken", n, scenario_.NodeName(n)));
  }
  if (scenario_.expect.no_doubt && !doubted.empty())
    v.violations.push_back(fmt::format("{} nodes reported that their views are in doubt", doubted.size()));
  if (!invented.empty())
    v.violations.push_back(fmt::format("{} nodes accepted members that were never started", invented.size()));
  if (v.violations.size() > 12) v.violations.resize(12);
  return v;
}

TextTable InvariantChecker::Table() const {
  TableBuilder rows("said", {{"at_periods", Numbers{}},
                             {"observer", Strings{}},
                             {"what", Strings{}},
                             {"member", Strings{}},
                             {"by", Strings{}},
                             {"value", Integers{}}});
  for (const NodeEvent& s : events_)
    rows.Add(s.at, scenario_.NodeName(s.observer), s.what, s.member, s.by, s.value);
  return rows.Take();
}

std::string InvariantChecker::Chart(const std::string& out, double end) const {
  const std::size_t n = scenario_.nodes;
  const double rows = static_cast<double>(n * n);
  std::string script = GnuplotHead(out, 1200, std::clamp(rows * 5 + 120, 300.0, 2400.0), 9);
  script += fmt::format(
      "set title \"{}\"\nset xlabel \"probe periods after the warm-up\"\nset ylabel \"observer\"\n",
      scenario_.title);
  script += fmt::format("set xrange [{}:{}]\nset yrange [{}:0]\nunset key\n", -scenario_.warm_up, end, rows);
  std::string tics;
  for (std::size_t i = 0; i < n; ++i)
    tics += fmt::format("{}\"{}\" {}", i == 0 ? "" : ", ", scenario_.NodeName(i),
                        (static_cast<double>(i) + 0.5) * static_cast<double>(n));
  script += "set ytics (" + tics + ")\n";
  int object = 0;
  const auto box = [&](double x0, double x1, double y0, double y1, const char* style) {
    script += fmt::format("set object {} rect from {},{} to {},{} {}\n", ++object, x0, y0, x1, y1, style);
  };
  for (const Fault& f : scenario_.faults) {
    for (int i = 0; i < f.times; ++i) {
      const double at = f.at + i * f.again_after;
      box(at, f.lasts > 0 ? at + f.lasts : std::max(end, at + 0.2), 0, rows,
          "fs solid 0.15 noborder fc rgb \"#808080\" behind");
    }
  }
  std::map<std::string, std::size_t> number;
  for (std::size_t i = n; i-- > 0;) number[scenario_.NodeName(i)] = i;
  std::map<std::pair<std::size_t, std::size_t>, std::pair<double, const char*>> open;
  const char* const alive = "fs solid 0.8 noborder fc rgb \"#4c9f70\"";
  const char* const suspect = "fs solid 0.9 noborder fc rgb \"#e0a030\"";
  const char* const gone = "fs solid 0.9 noborder fc rgb \"#c03030\"";
  const auto close = [&](std::size_t o, std::size_t m, double at) {
    const auto it = open.find({o, m});
    if (it == open.end()) return;
    const double y = static_cast<double>(o * n + m);
    box(it->second.first, at, y + 0.1, y + 0.9, it->second.second);
    open.erase(it);
  };
  for (const NodeEvent& s : events_) {
    if (s.what == "started") {
      for (std::size_t m = 0; m < n; ++m) close(s.observer, m, s.at);
      continue;
    }
    const auto it = number.find(s.member);
    const ViewChange change = ViewChangeOf(s.what);
    if (it == number.end() || change == ViewChange::kNone) continue;
    close(s.observer, it->second, s.at);
    open[{s.observer, it->second}] = {s.at, change == ViewChange::kAdds      ? alive
                                            : change == ViewChange::kRemoves ? gone
                                                                             : suspect};
  }
  const auto left = open;
  for (const auto& [pair, what] : left) close(pair.first, pair.second, end);
  return script + "plot NaN\n";
}

}  // namespace ryeglade::cluster
