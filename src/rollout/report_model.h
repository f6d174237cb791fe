// What a driver saw round by round, as lines of JSON, and what people make of it afterwards: a table and a
// chart of nodes, stages and cohorts. The lines are written by `rollout start --record`, read by `rollout
// report`; a reader passes over lines and fields that it does not know. No I/O, no clock.
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
  std::string state;  // "old", "changing", "new", "gone", "left-alone"
};
struct RecordedRound {
  double at = 0;  // seconds, Unix time
  std::string course, why, driver;
  std::uint64_t epoch = 0;
  std::size_t stage = 0, in_change = 0;  // stages count from 1
  std::vector<RecordedNode> nodes;
  std::vector<Comparison> comparisons;
  std::string fault;  // nothing but a fault that somebody caused then, until the one of the same word ends
  bool ends = false;
};

// One line, with its end. Numbers that are not finite are left out.
std::string EncodeRound(const RecordedRound& round);
std::optional<RecordedRound> DecodeRound(std::string_view line);
// All lines of a record that can be read, in the order of time. `skipped`: how many could not.
std::vector<RecordedRound> DecodeRecord(std::string_view text, std::size_t* skipped);

// Each turn of the course with its time, then the last comparisons.
std::string ReportTable(const std::vector<RecordedRound>& rounds);
// Every comparison of every round.
TextTable ReportSheet(const std::vector<RecordedRound>& rounds);
// A gnuplot script: a lane for each node, then the difference between the cohorts with its interval, for
// failures, for what was not served in time and for first tokens, over all classes; faults as shading.
std::string ReportChart(const std::vector<RecordedRound>& rounds, const std::string& out);

}  // namespace ryeglade::rollout
