// Service metrics of one node by request class, counted since its process started. The canary analysis uses
// them to compare cohorts of nodes. They are exchanged as one JSON object; a reader skips fields that it does
// not know. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ryeglade::rollout {

// Of the requests of one class.
struct ClassMetrics {
  double priority_weight = 1;  // weight of one request of this class
  // Numbers of requests; `in_time` counts the served ones that met their latency objective.
  std::uint64_t served = 0, in_time = 0, rejected = 0, failed = 0;
  double attempts_sum = 0, attempts_sum_of_squares = 0;              // of the attempts per concluded request
  std::uint64_t started = 0;                                         // responses whose first token was sent
  double first_token_ln_sum = 0, first_token_ln_sum_of_squares = 0;  // of ln(time to first token in ms)
  std::uint64_t concluded() const { return served + rejected + failed; }
};

struct NodeMetrics {
  std::int64_t pid = 0;                                    // of the process that measured them
  std::int64_t measured_at = 0;                            // microseconds, Unix time
  std::uint64_t memory_bytes = 0, memory_limit_bytes = 0;  // resident size; its limit, 0: not known
  std::uint64_t descriptors = 0, descriptor_limit = 0;     // open descriptors; their limit, 0: not known
  std::map<std::string, ClassMetrics> classes;             // by class name
};

// Returns the metrics as one JSON object.
std::string EncodeNodeMetrics(const NodeMetrics& metrics);
// Returns nullopt if the text is not an object of this form, or if a number is negative, not finite or out of
// bounds.
std::optional<NodeMetrics> DecodeNodeMetrics(const std::string& text);

}  // namespace ryeglade::rollout
