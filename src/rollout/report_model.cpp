#include "rollout/report_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <exception>
#include <map>
#include <nlohmann/json.hpp>
#include <utility>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxNodes = 2000, kMaxComparisons = 2000;  // in a line that is read

double FiniteOrZero(double value) { return std::isfinite(value) ? value : 0; }

// The keys in a record's lines are older than the names of the fields, and are mapped only in this file.
json ToJson(const CohortComparison& comparison) {
  json j = {{"class", comparison.class_name},
            {"what", comparison.metric},
            {"n_new", FiniteOrZero(comparison.new_requests)},
            {"n_old", FiniteOrZero(comparison.old_requests)},
            {"new", FiniteOrZero(comparison.new_mean)},
            {"old", FiniteOrZero(comparison.old_mean)},
            {"difference", FiniteOrZero(comparison.difference)},
            {"allowed", FiniteOrZero(comparison.allowed)},
            {"worse", comparison.worse}};
  if (std::isfinite(comparison.half_width) && comparison.known()) j["half"] = comparison.half_width;
  return j;
}

CohortComparison ComparisonFrom(const json& j) {
  CohortComparison comparison;
  comparison.class_name = j.value("class", "");
  comparison.metric = j.value("what", "");
  comparison.new_requests = j.value("n_new", 0.0);
  comparison.old_requests = j.value("n_old", 0.0);
  comparison.new_mean = j.value("new", 0.0);
  comparison.old_mean = j.value("old", 0.0);
  comparison.difference = j.value("difference", 0.0);
  comparison.half_width = j.value("half", kMaxKnownHalfWidth);
  comparison.allowed = j.value("allowed", 0.0);
  comparison.worse = j.value("worse", false);
  return comparison;
}

// Returns nullopt if a value is out of bounds. Throws an exception of the JSON library if this is not a
// round.
std::optional<RecordedRound> RoundFrom(const json& j) {
  RecordedRound round;
  round.at = j.at("at").get<double>();
  if (!std::isfinite(round.at)) return std::nullopt;
  round.fault = j.value("fault", "");
  round.fault_ends = j.value("ends", false);
  if (!round.fault.empty()) return round;
  round.state = j.at("course").get<std::string>();
  round.reason = j.value("why", "");
  round.driver = j.value("driver", "");
  round.epoch = j.value("epoch", std::uint64_t{0});
  round.stage = j.value("stage", std::size_t{0});
  round.changing_nodes = j.value("in_change", std::size_t{0});
  const json nodes = j.value("nodes", json::array());
  const json comparisons = j.value("comparisons", json::array());
  if (nodes.size() > kMaxNodes || comparisons.size() > kMaxComparisons) return std::nullopt;
  for (const json& node : nodes)
    round.nodes.push_back(
        {node.at(0).get<std::string>(), node.at(1).get<std::string>(), node.at(2).get<std::string>()});
  for (const json& comparison : comparisons) round.comparisons.push_back(ComparisonFrom(comparison));
  return round;
}

struct NodeCounts {
  int updated = 0, outdated = 0, skipped = 0;
};

NodeCounts CountNodes(const std::vector<RecordedNode>& nodes) {
  NodeCounts counts;
  for (const RecordedNode& node : nodes) {
    counts.updated += node.state == "new" ? 1 : 0;
    counts.outdated += node.state == "old" ? 1 : 0;
    counts.skipped += node.state == "gone" ? 1 : 0;
  }
  return counts;
}

std::string ComparisonRows(const std::vector<CohortComparison>& comparisons) {
  std::string rows = fmt::format("\n{:<12} {:<12} {:>9} {:>9} {:>10} {:>10} {:>10} {:>9} {:>9}\n", "class",
                                 "what", "new n", "old n", "new", "old", "difference", "+-", "allowed");
  for (const CohortComparison& c : comparisons) {
    rows += fmt::format("{:<12} {:<12} {:>9.0f} {:>9.0f} {:>10.4f} {:>10.4f} {:>+10.4f} {:>9} {:>9.4f}{}\n",
                        c.class_name, c.metric, c.new_requests, c.old_requests, c.new_mean, c.old_mean,
                        c.difference, c.known() ? fmt::format("{:.4f}", c.half_width) : "?", c.allowed,
                        c.worse ? "  WORSE" : "");
  }
  return rows;
}

}  // namespace

std::string EncodeRound(const RecordedRound& round) {
  json j = {{"at", round.at}};
  if (!round.fault.empty()) {
    j["fault"] = round.fault;
    j["ends"] = round.fault_ends;
  } else {
    j["course"] = round.state;
    j["why"] = round.reason;
    j["driver"] = round.driver;
    j["epoch"] = round.epoch;
    j["stage"] = round.stage;
    j["in_change"] = round.changing_nodes;
    j["nodes"] = json::array();
    for (const RecordedNode& node : round.nodes) j["nodes"].push_back({node.name, node.zone, node.state});
    for (const CohortComparison& comparison : round.comparisons)
      j["comparisons"].push_back(ToJson(comparison));
  }
  return j.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
}

std::optional<RecordedRound> DecodeRound(std::string_view line) {
  try {
    return RoundFrom(json::parse(line));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

std::vector<RecordedRound> DecodeRecord(std::string_view text, std::size_t* skipped) {
  std::vector<RecordedRound> rounds;
  *skipped = 0;
  while (!text.empty()) {
    const std::size_t line_end = std::min(text.find('\n'), text.size());
    if (line_end > 0) {
      if (auto round = DecodeRound(text.substr(0, line_end))) {
        rounds.push_back(std::move(*round));
      } else {
        ++*skipped;
      }
    }
    text.remove_prefix(std::min(line_end + 1, text.size()));
  }
  std::stable_sort(rounds.begin(), rounds.end(),
                   [](const RecordedRound& a, const RecordedRound& b) { return a.at < b.at; });
  return rounds;
}

std::string ReportTable(const std::vector<RecordedRound>& rounds) {
  if (rounds.empty()) return "no round is recorded\n";
  const double begin = rounds.front().at;
  std::string table = fmt::format("{:>9}  {:<10} {:>5} {:>9} {:>5} {:>5} {:>5}  {}\n", "seconds", "course",
                                  "stage", "in change", "new", "old", "gone", "why");
  std::string last_key;
  const RecordedRound* last_compared = nullptr;
  for (const RecordedRound& round : rounds) {
    if (!round.fault.empty()) {
      table += fmt::format("{:>9.1f}  fault {} {}\n", round.at - begin, round.fault,
                           round.fault_ends ? "is over" : "begins");
      continue;
    }
    if (!round.comparisons.empty()) last_compared = &round;
    const NodeCounts counts = CountNodes(round.nodes);
    // The reason and the number of changing nodes differ in almost every round, so a change of these alone
    // adds no line.
    const std::string key = fmt::format("{} {} {} {} {}", round.state, round.stage, counts.updated,
                                        counts.outdated, counts.skipped);
    if (key == last_key) continue;
    last_key = key;
    table += fmt::format("{:>9.1f}  {:<10} {:>5} {:>9} {:>5} {:>5} {:>5}  {}\n", round.at - begin,
                         round.state, round.stage, round.changing_nodes, counts.updated, counts.outdated,
                         counts.skipped, round.reason);
  }
  table += fmt::format("{:>9.1f}  the end of the record\n", rounds.back().at - begin);
  if (last_compared != nullptr) table += ComparisonRows(last_compared->comparisons);
  return table;
}

TextTable ComparisonColumns(const std::vector<RecordedRound>& rounds) {
  TableBuilder rows("comparisons", {{"at_seconds", Numbers{}},
                                    {"course", Strings{}},
                                    {"stage", Integers{}},
                                    {"class", Strings{}},
                                    {"what", Strings{}},
                                    {"n_new", Numbers{}},
                                    {"n_old", Numbers{}},
                                    {"new", Numbers{}},
                                    {"old", Numbers{}},
                                    {"difference", Numbers{}},
                                    {"half", Numbers{}},
                                    {"allowed", Numbers{}},
                                    {"worse", Integers{}}});
  for (const RecordedRound& round : rounds) {
    for (const CohortComparison& c : round.comparisons)
      rows.Add(round.at - rounds.front().at, round.state, round.stage, c.class_name, c.metric, c.new_requests,
               c.old_requests, c.new_mean, c.old_mean, c.difference, c.known() ? c.half_width : std::nan(""),
               c.allowed, c.worse ? 1 : 0);
  }
  return rows.Take();
}

}  // namespace ryeglade::rollout
