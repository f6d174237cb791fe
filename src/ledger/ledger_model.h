// The ledger counts, for each API key and model, the requests, their outcomes and the tokens used. Every
// admitted request ends in exactly one outcome. Tokens reported by replicas and estimated tokens are counted
// separately. The number of rows is bounded: further pairs of key and model are counted under "(other)".
// Performs no I/O and reads no clock.
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
  kRejectedByNode,      // rejected before anything was forwarded; safe to retry
  kFailed,              // no response; the request may have run on a replica
  kRejectedByReplica,   // a replica replied that the request itself is invalid
  kClientDisconnected,  // the client closed its connection before the response was complete
  kTruncated,           // the replica's stream broke off after its first event
  kTerminated,          // ended by the node, because the key was revoked or its tokens were used up
  kCount
};
inline constexpr std::size_t kOutcomes = static_cast<std::size_t>(Outcome::kCount);
const char* Name(Outcome outcome);  // the name in the ledger file, in its text table and in the metrics

// Sums of tokens. The cached tokens are part of the prompt.
struct Tokens {
  double prompt = 0, cached = 0, output = 0;
  bool operator==(const Tokens&) const = default;
};

// The counts of one key and model.
struct Row {
  std::uint64_t admitted = 0;                              // requests
  std::array<std::uint64_t, kOutcomes> ended{};            // requests, by Outcome
  Tokens reported, estimated;                              // reported by replicas; estimated by the node
  std::array<std::uint64_t, kUsageFaults> usage_faults{};  // requests, by UsageFault

  std::uint64_t open() const;  // requests admitted and not yet ended
  void Add(const Row& other);
  void Subtract(const Row& earlier);  // no count of `earlier` is higher
  bool operator==(const Row&) const = default;
};

// The counts of a process, or the sum of several processes of a node.
struct Counts {
  using Id = std::pair<std::string, std::string>;  // id of the key, and model
  std::map<Id, Row> rows;
  std::map<std::string, std::uint64_t> rejections;  // by reason

  // Rows beyond Ledger::kMaxRows are added to the row "(other)".
  void Add(const Counts& other);
  // Returns what has been counted since `earlier`, which is of the same process.
  Counts Since(const Counts& earlier) const;
  bool operator==(const Counts&) const = default;
};

class Ledger {
 public:
  using Id = Counts::Id;
  static constexpr std::size_t kMaxRows = 4096;  // without the row "(other)"

  void RecordAdmission(const std::string& key, const std::string& model);
  // Called exactly once when an admitted request ends. `usage` is the tokens it used; `reported` tells
  // whether they are the replica's own figures rather than an estimate. `fault` is not null if the replica
  // should have reported its usage and the report was absent or not valid.
  void RecordOutcome(const std::string& key, const std::string& model, Outcome outcome, const Usage& usage,
                     bool reported, const UsageFault* fault);
  // Counts a request that was rejected before it was admitted. `reason` is one of a fixed set of names.
  void CountRejection(const std::string& reason) { ++counts_.rejections[reason]; }

  const Counts& counts() const { return counts_; }
  const std::map<Id, Row>& rows() const { return counts_.rows; }
  const std::map<std::string, std::uint64_t>& rejections() const { return counts_.rejections; }
  Row Total() const;

 private:
  // Returns the row of the key and model, or the row "(other)" if there are already kMaxRows rows.
  Row& At(const std::string& key, const std::string& model);

  Counts counts_;
};

// Encodes the counts of `node` at the Unix time `unix_ms`, in milliseconds, as JSON, and decodes them.
// The stored names of outcomes and token kinds differ from the names in this file and are fixed; see Name and
// the encoder. The decoders throw std::runtime_error that describes the error but does not name the file.
std::string ToJson(const Counts& counts, const std::string& node, std::int64_t unix_ms);
Counts CountsFromJson(const std::string& text);
std::map<Ledger::Id, Row> RowsFromJson(const std::string& text);
// Formats the rows as a text table with the totals in the last line.
std::string FormatTable(const std::map<Ledger::Id, Row>& rows);

}  // namespace ryeglade::ledger
