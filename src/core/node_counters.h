// NodeCounters: what the node has done, counted from 0 in each process, for the admin listener's counters
// (whose names are admin/counters.cpp's). The streams and the upstream add to it; nothing decides on it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ryeglade {

// All counts; sums and squares let readers work out means and deviations.
struct NodeCounters {
  // Of the requests of one class.
  struct RequestClass {
    // How its requests ended: with a complete response, rejected before any attempt may have run, or failed.
    std::uint64_t served = 0;
    std::uint64_t rejected = 0;
    std::uint64_t failed = 0;
    std::uint64_t within_objective = 0;  // of those served: first token within the latency objective
    // Attempts of all that ended, and the sum of their squares.
    std::uint64_t attempts = 0;
    std::uint64_t attempts_squared = 0;
    // Responses that began; of their first token's time, the sum of ln(milliseconds) and of its squares.
    std::uint64_t started = 0;
    double first_token_ln = 0;
    double first_token_ln_squared = 0;
  };
  std::map<std::string, RequestClass> by_class;  // by the name that the request came with
  std::uint64_t attempts_written = 0;            // complete, to upstream hosts
  std::uint64_t reloads_applied = 0;             // of the settings
  std::uint64_t reloads_failed = 0;
  std::map<std::string, std::uint64_t> attempts_ended;      // by outcome, as core/enum_names.h names it
  std::map<std::string, std::uint64_t> requests_concluded;  // rejected or failed, by the module's reason
  std::uint64_t watchdog_replies = 0;  // requests that the module had not answered in time
};

}  // namespace ryeglade
