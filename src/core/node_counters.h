// NodeCounters: the events that this process has counted since its start, for the counters of the admin
// listener (admin/counters.cpp has their names). Streams and Upstream update them; no decision depends on
// them.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ryeglade {

// The sums and sums of squares let readers compute means and standard deviations.
struct NodeCounters {
  // Counters of the requests of one class.
  struct RequestClass {
    std::uint64_t served = 0;            // requests that ended with a complete response
    std::uint64_t rejected = 0;          // requests that were rejected, which it is safe to repeat
    std::uint64_t failed = 0;            // requests that failed
    std::uint64_t within_objective = 0;  // served requests whose first token met the latency objective
    // Sum of the number of attempts over all requests that ended, and the sum of its squares.
    std::uint64_t attempts = 0;
    std::uint64_t attempts_squared = 0;
    // Responses that started, and the sum of ln(time to first token in milliseconds) over them and of its
    // squares.
    std::uint64_t started = 0;
    double first_token_ln = 0;
    double first_token_ln_squared = 0;
  };
  std::map<std::string, RequestClass> by_class;  // by the class name at the request's arrival
  std::uint64_t attempts_written = 0;            // requests written completely to upstream hosts
  std::uint64_t reloads_applied = 0;             // settings reloads
  std::uint64_t reloads_failed = 0;
  std::map<std::string, std::uint64_t> attempts_ended;  // by outcome (names in core/enum_names.h)
  std::map<std::string, std::uint64_t> stream_ends;     // streams of replicas, by how they stood at the end
  std::map<std::string, std::uint64_t>
      requests_concluded;  // rejected or failed, by the decision module's reason
  // Streams that the node ended so that their clients resume them elsewhere; also among `failed`.
  std::uint64_t streams_migrated = 0;
  std::uint64_t watchdog_replies = 0;  // requests that the decision module had not answered in time
};

}  // namespace ryeglade
