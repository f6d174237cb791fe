// What a driver saw round by round, as lines of JSON, and reports on it: a table, columns, and a chart of
// nodes, stages and cohorts. The lines are written by `rollout start --record` and read by `rollout report`;
// a reader skips lines and fields that it does not know. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/text_table.h"
#include "rollout/canary_analysis_model.h"

namespace ryeglade::rollout {

struct RecordedNode {
  std::string name, zone;
  std::string state;  // "old", "changing", "new", "gone" (skipped), "left-alone" (deferred)
};

// A round, or a marker that a fault injected by a test begins or ends.
struct RecordedRound {
  double at = 0;  // seconds, Unix time
  std::string state, reason, driver;
  std::uint64_t epoch = 0;
  std::size_t stage = 0;  // counted from 1
  std::size_t changing_nodes = 0;
  std::vector<RecordedNode> nodes;
  std::vector<CohortComparison> comparisons;
  std::string fault;        // a marker: the fault's name; empty: a round
  bool fault_ends = false;  // a marker: that of the same name has ended
};

// One line, with its end. Numbers that are not finite become 0, or are left out.
std::string EncodeRound(const RecordedRound& round);
// Null: not such a line, or larger than the bounds.
std::optional<RecordedRound> DecodeRound(std::string_view line);
// All lines of a record that can be read, in the order of time. `skipped`: how many could not.
std::vector<RecordedRound> DecodeRecord(std::string_view text, std::size_t* skipped);

// Each change of state with its time, then the last comparisons.
std::string ReportTable(const std::vector<RecordedRound>& rounds);
// Every comparison of every round.
TextTable ComparisonColumns(const std::vector<RecordedRound>& rounds);

}  // namespace ryeglade::rollout
