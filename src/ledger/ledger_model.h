// The ledger: what each key requested of each model and how it ended. Every admitted request ends in exactly
// one outcome; tokens are counted apart by where the figure came from. Bounded in rows: what comes past the
// bound is counted under "(other)". No I/O, no clock.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include "ledger/usage_model.h"

namespace ryeglade::ledger {

// How an admitted request ended.
enum class Outcome : std::uint8_t {
  kServed,
  kRejectedByNode,      // before anything was forwarded; a retry is harmless
  kFailed,              // no answer; it may have run
  kRejectedByReplica,   // a replica said that the request itself is wrong
  kClientDisconnected,  // the client closed its connection before the end
  kTruncated,           // the replica's stream ended early, after the first event
  kTerminated,          // the node ended it: key revoked, or its tokens spent
  kCount
};
inline constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::kCount);
const char* Name(Outcome outcome);

struct Tokens {
  double prompt = 0, cached = 0, output = 0;
};

struct Row {
  std::uint64_t admitted = 0;
  std::array<std::uint64_t, kOutcomes> ended{};
  Tokens reported, estimated;
  std::array<std::uint64_t, kUsageFaults> usage_faults{};

  std::uint64_t open() const;  // admitted and not ended
  void Add(const Row& other);
};

class Ledger {
 public:
  using Id = std::pair<std::string, std::string>;  // key, model
  static constexpr std::size_t kMaxRows = 4096;

  void RecordAdmission(const std::string& key, const std::string& model);
  // The one end of an admitted request. `usage` is what it used; `reported`: by the replica's own figures,
  // not by an estimate; a fault is counted when usage was owed and was not valid.
  void RecordOutcome(const std::string& key, const std::string& model, Outcome outcome, const Usage& usage,
                     bool reported, const UsageFault* fault);
  // Requests rejected before they were admitted, by reason (a fixed set of names).
  void CountRejection(const std::string& reason) { ++rejections_[reason]; }

  const std::map<Id, Row>& rows() const { return rows_; }
  const std::map<std::string, std::uint64_t>& rejections() const { return rejections_; }
  Row Total() const;

 private:
  Row& At(const std::string& key, const std::string& model);
  std::map<Id, Row> rows_;
  std::map<std::string, std::uint64_t> rejections_;
};

// As JSON, and back. The stored form keeps older names for outcomes and token kinds, as Name and the encoder
// map them. RowsFromJson throws std::runtime_error saying what is wrong.
std::string ToJson(const Ledger& ledger, const std::string& node, std::int64_t unix_ms);
std::map<Ledger::Id, Row> RowsFromJson(const std::string& text);
// A table for a person, totals last.
std::string FormatTable(const std::map<Ledger::Id, Row>& rows);

}  // namespace ryeglade::ledger
