// NodeCounters: what the node has done, counted from 0 in each process, for the admin listener's counters.
// The streams and the upstream add to it; nothing decides on it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ryeglade {

struct NodeCounters {
  struct Ends {
    std::uint64_t success = 0, busy = 0, failure = 0;  // served, refused, failed
    std::uint64_t in_time = 0;                         // of those served: first token within the class's aim
    std::uint64_t attempts = 0, attempts_squared = 0;  // of all that ended, and the sum of squares
    std::uint64_t started = 0;                         // answers that began
    double first_ln = 0,
           first_ln_squared = 0;  // of their first token's time: ln of milliseconds, and squares
  };
  std::map<std::string, Ends> by_class;  // by the name that the request came with
  std::uint64_t backend_calls = 0;       // attempts written whole to upstream hosts
  std::uint64_t reconfig_ok = 0, reconfig_failed = 0;
  std::map<std::string, std::uint64_t> attempts_ended;  // by outcome, in the words of core/words.h
  std::map<std::string, std::uint64_t> given_up;        // requests refused or failed, by the module's reason
  std::uint64_t guard_replies = 0;                      // requests that the module had not answered in time
};

}  // namespace ryeglade
