// The ledger: what each key asked of each model and what became of it. Every request admitted ends in exactly
// one column; tokens stand apart by where the figure came from. Bounded in rows: what comes past the bound is
// counted under "(other)". No I/O, no clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "ledger/usage_model.h"

namespace ryeglade::ledger {

enum class Column : std::uint8_t {
  kServed,
  kRefused,     // by the node, before anything was passed on; trying again is harmless
  kFailed,      // no answer; it may have run
  kRejected,    // a replica said that the request itself is wrong
  kClientLeft,  // the client closed its connection before the end
  kBroken,      // the replica's stream broke after the first event
  kCut,         // the node ended it: key revoked, or its tokens spent
  kCount
};
inline constexpr std::size_t kColumns = static_cast<std::size_t>(Column::kCount);
const char* Name(Column column);

struct Tokens {
  double prompt = 0, kept = 0, answer = 0;
};

struct Row {
  std::uint64_t admitted = 0;
  std::array<std::uint64_t, kColumns> ended{};
  Tokens reported, estimated;
  std::array<std::uint64_t, kUsageFaults> usage_faults{};

  std::uint64_t open() const;  // admitted and not ended
  void Add(const Row& other);
};

class Ledger {
 public:
  using Id = std::pair<std::string, std::string>;  // key, model
  static constexpr std::size_t kMostRows = 4096;

  void Admitted(const std::string& key, const std::string& model);
  // The one end of an admitted request. `usage` is what it used; `reported` says whose figure that is; a
  // fault is counted when usage was owed and could not be believed.
  void Ended(const std::string& key, const std::string& model, Column column, const Usage& usage,
             bool reported, const UsageFault* fault);
  // Requests turned away before they were admitted, by reason word (a few fixed ones).
  void TurnedAway(const std::string& reason) { ++turned_away_[reason]; }

  const std::map<Id, Row>& rows() const { return rows_; }
  const std::map<std::string, std::uint64_t>& turned_away() const { return turned_away_; }
  Row Total() const;

 private:
  Row& At(const std::string& key, const std::string& model);
  std::map<Id, Row> rows_;
  std::map<std::string, std::uint64_t> turned_away_;
};

// As JSON, and back; Read throws std::runtime_error saying what is wrong.
std::string ToJson(const Ledger& ledger, const std::string& node, std::int64_t unix_ms);
std::map<Ledger::Id, Row> RowsFromJson(const std::string& text);
// A table for a person, totals last.
std::string Table(const std::map<Ledger::Id, Row>& rows);

}  // namespace ryeglade::ledger
