// Replays a trace through a node, over either front and either dialect, with fake replicas as upstream hosts.
// The outcome of a request depends on the trace only, so the four combinations can be compared.
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
  std::int64_t at_ms = 0;  // after the start of the trace
  std::string cls;         // "docs" or "agent"
  std::string system, prompt;
  std::size_t max_tokens = 0;
  std::int64_t deadline_ms = 0;
  Fault fault = Fault::kNone;
};

// One JSON object on each line. ReadTrace throws std::runtime_error naming the line that is invalid.
std::vector<TraceLine> ReadTrace(const std::string& text);
std::string WriteTrace(const std::vector<TraceLine>& trace);
// Makes a trace with both classes, shared prefixes, and a fault in about one of sixteen requests. The same
// arguments give the same trace on every machine.
std::vector<TraceLine> MakeTrace(std::size_t requests, std::uint64_t seed, double per_second);

// Returns the bytes of request number `n` for a front. `key` is the API key for the OpenAI-style front.
std::string RequestOf(const TraceLine& line, std::size_t n, bool openai_front, const std::string& key);

// Outcome of a request, as the client sees it.
enum class End : std::uint8_t {
  kServed,    // complete, with the expected text
  kRefused,   // 429 or 503
  kFailed,    // a status other than 200, 4xx and 503
  kRejected,  // another 4xx
  kBroken,    // 200, and an expected text that ends early or with an error event
  kSpoilt,    // 200, and a text or an event that is wrong
  kNothing    // no response
};
const char* Name(End end);

struct ReplayOptions {
  std::string program;
  ReplicaDialect dialect = ReplicaDialect::kOpenAi;
  bool openai_front = true;
  std::function<void(std::size_t done, std::size_t all)> progress;  // null: none
};

struct ReplayResult {
  std::vector<End> ends;                                 // outcome of each line of the trace
  double worth = 0, worth_asked = 0;                     // priority weight of the served requests, and of all
  std::uint64_t attempts = 0, overlapping_attempts = 0;  // as counted by the replicas
  std::map<ledger::Ledger::Id, ledger::Row> ledger;      // of the OpenAI-style front
  std::string log;                                       // of the node
  double seconds = 0;
};

// Starts a local fleet and sends the requests at the times of the trace. Throws std::runtime_error if the
// node does not start.
ReplayResult Replay(const std::vector<TraceLine>& trace, const ReplayOptions& options);
// Formats the outcomes by class, the attempts and the ledger as text.
std::string Table(const std::vector<TraceLine>& trace, const ReplayResult& result);

}  // namespace ryeglade::lab
