// What the nodes of a scenario said of each other, and whether it was true: the witness gathers it from log
// lines or notes, the judge holds it against what really happened and what the scenario expects.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "base/text_table.h"
#include "lab/cluster/scenario.h"

namespace ryeglade::cluster {

// One thing that a node said. Times are periods after the warm-up; before it they are negative.
struct NodeEvent {
  double at = 0;
  std::size_t observer = 0;
  std::string what;  // the event's word, as in the log
  std::string member, by;
  std::uint64_t value = 0;
};

struct Figures {
  std::size_t deaths = 0, false_deaths = 0;  // said; of members that ran and could be reached
  std::size_t most_returns = 0;              // of one member in one view
  std::size_t suspicions = 0, doubts = 0, refusals = 0;
  std::vector<double> detection;  // periods from each death to each word of it
  double one_view = -1;  // periods from the last fault's end until all views were the same; -1: never
  double missed = 0;     // share of (death, observer) pairs that were never told
};

struct Verdict {
  std::vector<std::string> violations;  // what was expected and not so; empty: good
  Figures figures;
  bool good() const { return violations.empty(); }
};

class InvariantChecker {
 public:
  explicit InvariantChecker(const Scenario& scenario);
  // In the order of time, a little disorder between observers aside.
  void AddEvent(NodeEvent event);
  void ProcessStarted(double at, std::size_t node);  // the process has started
  void ProcessEnded(double at, std::size_t node);    // or has ended
  Verdict Check(double end) const;

  const std::vector<NodeEvent>& events() const { return events_; }
  TextTable Table() const;
  // A gnuplot script: a row an observer and member, colours their standing, faults as shading.
  std::string Chart(const std::string& out, double end) const;

 private:
  struct TimeSpan {
    double from = 0, to = 1e18;
  };
  bool RunsAt(std::size_t node, double at) const;
  bool BelongsToCluster(std::size_t node) const;  // belongs in the one view in the end
  const std::vector<std::size_t>& NodesNamed(const std::string& member) const;

  Scenario scenario_;
  std::vector<NodeEvent> events_;
  std::vector<std::vector<TimeSpan>> process_spans_;
  std::map<std::string, std::vector<std::size_t>> nodes_by_name_;  // two nodes may hold one name
};

double Quantile(std::vector<double> values, double q);  // NaN for none

}  // namespace ryeglade::cluster
