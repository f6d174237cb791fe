// The node's counters in the Prometheus text format, as the admin listener serves them.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "core/node_counters.h"
#include "http/close_reason.h"

namespace ryeglade {

struct CounterView {
  const NodeCounters* counters = nullptr;
  std::vector<std::string> classes;  // in force now; each has a line even before its first request
  std::uint64_t inflight = 0;        // requests taken and not yet ended
  std::uint64_t hosts_listed = 0, hosts_down = 0;
  CloseCounts closed{};  // clients' connections, by reason
};

std::string CountersText(const CounterView& view);

}  // namespace ryeglade
