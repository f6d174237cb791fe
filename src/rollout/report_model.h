// The record of a rollout, with a line of JSON for each of the driver's rounds, and reports on it: a table
// and columns (report_chart_model.h draws the chart). The lines are written by `rollout start --record` and
// read by `rollout report`; a reader skips lines and fields that it does not know. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/text_table.h"
#include "rollout/canary_analysis_model.h"

namespace ryeglade::rollout {

// A node of the plan in one round.
struct RecordedNode {
  std::string name, zone;
  std::string state;  // "old", "changing", "new", "gone" (skipped), "left-alone" (deferred)
};

// A round of the driver, or a marker of the begin or end of a fault that a test injected.
struct RecordedRound {
  double at = 0;                    // seconds, Unix time
  std::string state;                // Name(RolloutState)
  std::string reason;               // why the rollout is in this state; may be empty
  std::string driver;               // name of the driver
  std::uint64_t epoch = 0;          // of the driver
  std::size_t stage = 0;            // counted from 1
  std::size_t changing_nodes = 0;   // number of nodes that are being changed
  std::vector<RecordedNode> nodes;  // in the order of the plan
  std::vector<CohortComparison> comparisons;
  std::string fault;        // name of the fault; empty: this is a round, not a marker
  bool fault_ends = false;  // the fault has ended; false: it begins
};

// Returns one line with its newline. Numbers of comparisons that are not finite are written as 0 or left out.
std::string EncodeRound(const RecordedRound& round);
// Returns nullopt if the line is neither a round nor a marker, or has too many nodes or comparisons.
std::optional<RecordedRound> DecodeRound(std::string_view line);
// Returns all lines of a record that can be read, ordered by time. `skipped` is set to the number of those
// that can't.
std::vector<RecordedRound> DecodeRecord(std::string_view text, std::size_t* skipped);

// Returns a table of the changes of state with their times, followed by the last comparisons.
std::string ReportTable(const std::vector<RecordedRound>& rounds);
// Returns every comparison of every round as columns.
TextTable ComparisonColumns(const std::vector<RecordedRound>& rounds);

}  // namespace ryeglade::rollout
