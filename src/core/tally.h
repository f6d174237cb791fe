// Tally: what the node has done, counted from 0 in each process, for the admin listener's counters. The
// streams and the upstream add to it; nothing decides on it.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace ryeglade {

struct Tally {
  struct Ends {
    std::uint64_t success = 0, busy = 0, failure = 0;  // served, refused, failed
  };
  std::map<std::string, Ends> by_class;  // by the name that the request came with
  std::uint64_t backend_calls = 0;       // attempts written whole to upstream hosts
  std::uint64_t reconfig_ok = 0, reconfig_failed = 0;
};

}  // namespace ryeglade
