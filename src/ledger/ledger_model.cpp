#include "ledger/ledger_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <vector>

namespace ryeglade::ledger {
namespace {

using nlohmann::json;

// "kept" and "answer" are the stored names of cached and output tokens.
json TokensToJson(const Tokens& tokens) {
  return {{"prompt", tokens.prompt}, {"kept", tokens.cached}, {"answer", tokens.output}};
}

Tokens TokensFromJson(const json& j) {
  return {j.at("prompt").get<double>(), j.at("kept").get<double>(), j.at("answer").get<double>()};
}

// Returns the row of the key and model, or the row "(other)" if there are already Ledger::kMaxRows rows.
Row& RowAt(Counts& counts, const Counts::Id& id) {
  const auto it = counts.rows.find(id);
  if (it != counts.rows.end()) return it->second;
  if (counts.rows.size() >= Ledger::kMaxRows) return counts.rows[{"(other)", "(other)"}];
  return counts.rows[id];
}

}  // namespace

// These names are stored in ledger files and must not change.
const char* Name(Outcome outcome) {
  static constexpr std::array<const char*, kOutcomes> kNames = {
      "served", "refused", "failed", "rejected", "client-left", "broken", "cut"};
  return kNames.at(static_cast<std::size_t>(outcome));
}

std::uint64_t Row::open() const {
  std::uint64_t all_ended = 0;
  for (const std::uint64_t n : ended) all_ended += n;
  return admitted - all_ended;
}

void Row::Add(const Row& other) {
  const auto add = [](Tokens& to, const Tokens& t) {
    to.prompt += t.prompt;
    to.cached += t.cached;
    to.output += t.output;
  };
  admitted += other.admitted;
  for (std::size_t i = 0; i < kOutcomes; ++i) ended.at(i) += other.ended.at(i);
  for (std::size_t i = 0; i < kUsageFaults; ++i) usage_faults.at(i) += other.usage_faults.at(i);
  add(reported, other.reported);
  add(estimated, other.estimated);
}

void Row::Subtract(const Row& earlier) {
  const auto subtract = [](Tokens& from, const Tokens& t) {
    from.prompt -= t.prompt;
    from.cached -= t.cached;
    from.output -= t.output;
  };
  admitted -= earlier.admitted;
  for (std::size_t i = 0; i < kOutcomes; ++i) ended.at(i) -= earlier.ended.at(i);
  for (std::size_t i = 0; i < kUsageFaults; ++i) usage_faults.at(i) -= earlier.usage_faults.at(i);
  subtract(reported, earlier.reported);
  subtract(estimated, earlier.estimated);
}

void Counts::Add(const Counts& other) {
  for (const auto& [id, row] : other.rows) RowAt(*this, id).Add(row);
  for (const auto& [reason, count] : other.rejections) rejections[reason] += count;
}

Counts Counts::Since(const Counts& earlier) const {
  Counts counts = *this;
  for (const auto& [id, row] : earlier.rows) counts.rows.at(id).Subtract(row);
  for (const auto& [reason, count] : earlier.rejections) counts.rejections.at(reason) -= count;
  return counts;
}

Row& Ledger::At(const std::string& key, const std::string& model) { return RowAt(counts_, {key, model}); }

void Ledger::RecordAdmission(const std::string& key, const std::string& model) { ++At(key, model).admitted; }

void Ledger::RecordOutcome(const std::string& key, const std::string& model, Outcome outcome,
                           const Usage& usage, bool reported, const UsageFault* fault) {
  Row& row = At(key, model);
  ++row.ended.at(static_cast<std::size_t>(outcome));
  Tokens& tokens = reported ? row.reported : row.estimated;
  tokens.prompt += usage.prompt;
  tokens.cached += usage.cached;
  tokens.output += usage.output;
  if (fault != nullptr) ++row.usage_faults.at(static_cast<std::size_t>(*fault));
}

Row Ledger::Total() const {
  Row total;
  for (const auto& [id, row] : counts_.rows) total.Add(row);
  return total;
}

std::string ToJson(const Counts& counts, const std::string& node, std::int64_t unix_ms) {
  json rows = json::array();
  for (const auto& [id, row] : counts.rows) {
    json ended;
    json faults = json::object();
    for (std::size_t i = 0; i < kOutcomes; ++i) ended[Name(static_cast<Outcome>(i))] = row.ended.at(i);
    for (std::size_t i = 0; i < kUsageFaults; ++i) {
      if (row.usage_faults.at(i) > 0) faults[Name(static_cast<UsageFault>(i))] = row.usage_faults.at(i);
    }
    rows.push_back({{"key", id.first},
                    {"model", id.second},
                    {"admitted", row.admitted},
                    {"ended", ended},
                    {"reported", TokensToJson(row.reported)},
                    {"estimated", TokensToJson(row.estimated)},
                    {"usage_faults", faults}});
  }
  const json all = {{"format", "ryeglade-ledger-1"},
                    {"node", node},
                    {"unix_ms", unix_ms},
                    {"rows", rows},
                    {"turned_away", counts.rejections}};
  return all.dump(1) + "\n";
}

std::map<Ledger::Id, Row> RowsFromJson(const std::string& text) { return CountsFromJson(text).rows; }

Counts CountsFromJson(const std::string& text) {
  Counts counts;
  try {
    const json all = json::parse(text);
    if (all.at("format") != "ryeglade-ledger-1")
      throw std::runtime_error("is not a ledger: the field format is not ryeglade-ledger-1");
    for (const json& j : all.at("rows")) {
      Row row;
      row.admitted = j.at("admitted").get<std::uint64_t>();
      for (std::size_t i = 0; i < kOutcomes; ++i) {
        row.ended.at(i) = j.at("ended").at(Name(static_cast<Outcome>(i))).get<std::uint64_t>();
      }
      for (std::size_t i = 0; i < kUsageFaults; ++i) {
        row.usage_faults.at(i) =
            j.at("usage_faults").value(Name(static_cast<UsageFault>(i)), std::uint64_t{0});
      }
      row.reported = TokensFromJson(j.at("reported"));
      row.estimated = TokensFromJson(j.at("estimated"));
      counts.rows[{j.at("key").get<std::string>(), j.at("model").get<std::string>()}].Add(row);
    }
    for (const auto& [reason, count] : all.at("turned_away").items())
      counts.rejections[reason] = count.get<std::uint64_t>();
  } catch (const json::exception& e) {
    throw std::runtime_error(e.what());
  }
  return counts;
}

std::string FormatTable(const std::map<Ledger::Id, Row>& rows) {
  const auto line = [](const std::string& key, const std::string& model, const Row& r) {
    std::string faults;
    for (std::size_t i = 0; i < kUsageFaults; ++i) {
      if (r.usage_faults.at(i) == 0) continue;
      faults += fmt::format("{}{}={}", faults.empty() ? "" : " ", Name(static_cast<UsageFault>(i)),
                            r.usage_faults.at(i));
    }
    std::string out = fmt::format("{:<14.14} {:<18.18} {:>8}", key, model, r.admitted);
    for (const std::uint64_t n : r.ended) out += fmt::format(" {:>8}", n);
    out += fmt::format(" {:>6} {:>11.0f} {:>11.0f} {:>11.0f} {:>11.0f} {:>11.0f}  {}\n", r.open(),
                       r.reported.prompt, r.reported.cached, r.reported.output, r.estimated.prompt,
                       r.estimated.output, faults.empty() ? "-" : faults);
    return out;
  };
  std::string out = fmt::format("{:<14} {:<18} {:>8}", "key", "model", "admitted");
  for (std::size_t i = 0; i < kOutcomes; ++i) {
    out += fmt::format(" {:>8.8}", i == static_cast<std::size_t>(Outcome::kClientDisconnected)
                                       ? "left"
                                       : Name(static_cast<Outcome>(i)));
  }
  out += fmt::format(" {:>6} {:>11} {:>11} {:>11} {:>11} {:>11}  {}\n", "open", "prompt", "kept", "answer",
                     "est.prompt", "est.answer", "usage faults");
  Row total;
  for (const auto& [id, row] : rows) {
    out += line(id.first, id.second, row);
    total.Add(row);
  }
  return out + line("total", "", total);
}

}  // namespace ryeglade::ledger
