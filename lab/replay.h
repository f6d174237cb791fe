// Plays a trace through a node: either front, either dialect, stand-in replicas behind. What a request comes
// to depends on the trace alone, so that the four pairs can be held against each other.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "lab/fake_replica.h"
#include "lab/fault.h"
#include "ledger/ledger_model.h"

namespace ryeglade::lab {

struct TraceLine {
  std::int64_t at_ms = 0;
  std::string cls;  // "docs" or "agent"
  std::string system, prompt;
  std::size_t max_tokens = 0;
  std::int64_t deadline_ms = 0;
  Fault fault = Fault::kNone;
};

// JSON, a line each. Throws std::runtime_error naming the line.
std::vector<TraceLine> ReadTrace(const std::string& text);
std::string WriteTrace(const std::vector<TraceLine>& trace);
// Both classes, shared beginnings, and about one in sixteen with a fault. The same for the same seed on every
// machine.
std::vector<TraceLine> MakeTrace(std::size_t requests, std::uint64_t seed, double per_second);

// The request's bytes, for either front; `key` is what the OpenAI-style front is shown.
std::string RequestOf(const TraceLine& line, std::size_t n, bool openai_front, const std::string& key);

enum class End : std::uint8_t { kServed, kRefused, kFailed, kRejected, kBroken, kSpoilt, kNothing };
const char* Name(End end);

struct ReplayOptions {
  std::string program;
  ReplicaDialect dialect = ReplicaDialect::kOpenAi;
  bool openai_front = true;
  std::function<void(std::size_t done, std::size_t all)> progress;  // absent: none
};

struct ReplayResult {
  std::vector<End> ends;  // by line of the trace
  double worth = 0, worth_asked = 0;
  std::uint64_t attempts = 0, overlapping_attempts = 0;
  std::map<ledger::Ledger::Id, ledger::Row> ledger;  // of the openai front
  std::string log;                                   // the node's
  double seconds = 0;
};

ReplayResult Replay(const std::vector<TraceLine>& trace, const ReplayOptions& options);
std::string Table(const std::vector<TraceLine>& trace, const ReplayResult& result);

}  // namespace ryeglade::lab
