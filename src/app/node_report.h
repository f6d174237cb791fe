// The reports that a node serves on the management address: its counters, and the metrics that a rollout
// compares.
#pragma once

#include <cstddef>
#include <string>

#include "core/core.h"
#include "core/decisions.h"
#include "core/discovery.h"
#include "core/streams.h"
#include "http/downstream.h"

namespace ryeglade {

// The modules that the reports are made from.
struct ReportSources {
  const Config& config;
  const NodeCounters& counters;
  const Streams& streams;
  const Discovery& discovery;
  const Decisions& decisions;
  const BufferPool& memory;
  const Downstream& listener;  // for the platform's clients, not that of the OpenAI-style API
};

// Returns the counters in the Prometheus text format.
std::string CountersReport(const ReportSources& sources);
// Returns the metrics as JSON. `used_sockets` is the number of descriptors in use.
std::string RolloutMetricsReport(const ReportSources& sources, std::size_t used_sockets);

}  // namespace ryeglade
