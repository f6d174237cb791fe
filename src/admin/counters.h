// The node's counters in the Prometheus text format, as the admin listener serves them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/node_counters.h"
#include "http/close_reason.h"

namespace ryeglade {

// The values that CountersText writes out.
struct CounterView {
  const NodeCounters* counters = nullptr;  // must not be null; not owned
  std::vector<std::string> classes;  // configured classes; each has a sample even before its first request
  std::uint64_t inflight = 0;        // requests received and not yet ended
  std::uint64_t hosts_listed = 0;    // replicas in the endpoint list
  std::uint64_t hosts_down = 0;      // listed replicas that are ejected, disabled or not ready
  std::uint64_t memory_used = 0;     // bytes that count against the memory budget
  std::uint64_t memory_budget = 0;   // bytes
  CloseCounts closed{};              // connections of clients that were closed, by reason
};

// Returns the samples in the Prometheus text format, version 0.0.4.
std::string CountersText(const CounterView& view);

}  // namespace ryeglade
