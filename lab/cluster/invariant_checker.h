// Collects the membership events that the nodes of a scenario report (from their logs, or directly in the
// emulation) and checks them against the processes' actual starts and ends and what the scenario expects.
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

// One event that a node reported. Times are probe periods after the warm-up; during the warm-up they are
// negative.
struct NodeEvent {
  double at = 0;
  std::size_t observer = 0;
  std::string what;         // the name of the event, as in the log
  std::string member, by;   // the member concerned; the node or address that reported it; may be empty
  std::uint64_t value = 0;  // an incarnation or a number of members; 0 if the event has none
};

struct Figures {
  std::size_t deaths = 0;        // reports of dead members
  std::size_t false_deaths = 0;  // reports of running members that the scenario does not allow to be removed
  std::size_t most_returns = 0;  // the largest number of returns of one member to one view
  // Numbers of reports: of suspected members, of views in doubt, of names that are taken.
  std::size_t suspicions = 0, doubts = 0, refusals = 0;
  std::vector<double> detection;  // periods from each death to each node's report of it
  double one_view = -1;  // periods from the end of the last fault until all views agreed; -1 if never
  double missed = 0;     // share of the (death, observer) pairs without a report in time
};

struct Verdict {
  std::vector<std::string> violations;  // expectations that were not met; empty if all were
  Figures figures;
  bool good() const { return violations.empty(); }
};

class InvariantChecker {
 public:
  explicit InvariantChecker(const Scenario& scenario);
  // Events come in the order of time for each observer, and nearly so between observers.
  void AddEvent(NodeEvent event);
  // Record what really happened to a node's process, at a time in periods after the warm-up.
  void ProcessStarted(double at, std::size_t node);
  void ProcessEnded(double at, std::size_t node);
  // Judges the events up to `end`, in periods after the warm-up.
  Verdict Check(double end) const;

  const std::vector<NodeEvent>& events() const { return events_; }
  TextTable Table() const;  // all events as a table for a results file
  // Returns a gnuplot script with a row for each pair of observer and member, coloured by the member's state,
  // and with the faults as shading.
  std::string Chart(const std::string& out, double end) const;

 private:
  struct TimeSpan {  // of a process, in periods; `to` is 1e18 while the process runs
    double from = 0, to = 1e18;
  };
  bool RunsAt(std::size_t node, double at) const;
  bool BelongsToCluster(std::size_t node) const;  // true if the final common view has to contain the node
  const std::vector<std::size_t>& NodesNamed(const std::string& member) const;

  Scenario scenario_;
  std::vector<NodeEvent> events_;
  std::vector<std::vector<TimeSpan>> process_spans_;
  std::map<std::string, std::vector<std::size_t>> nodes_by_name_;  // two nodes may have the same name
};

// Returns the value at the share `q` (0 to 1) of the sorted values, or NaN if `values` is empty.
double Quantile(std::vector<double> values, double q);

}  // namespace ryeglade::cluster
