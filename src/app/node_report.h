// What a node reports about itself on the management address: its counters, and the metrics by which a
// rollout compares nodes.
#pragma once

#include <cstddef>
#include <string>

#include "core/core.h"
#include "core/decisions.h"
#include "core/discovery.h"
#include "core/streams.h"
#include "http/downstream.h"

namespace ryeglade {

// Where the figures come from.
struct ReportSources {
  const Config& config;
  const NodeCounters& counters;
  const Streams& streams;
  const Discovery& discovery;
  const Decisions& decisions;
  const Downstream& listener;  // the platform's, not the OpenAI-style API's
};

// In the Prometheus text format.
std::string CountersReport(const ReportSources& sources);
// As JSON. `used_sockets`: descriptors in use now.
std::string RolloutMetricsReport(const ReportSources& sources, std::size_t used_sockets);

}  // namespace ryeglade
