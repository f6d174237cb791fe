// Replica timelines as a gnuplot script: the fleet's traffic above, then a row for each replica with its
// state, what it was sent, what failed, the times to first token, its ejections and anomalies. Up to 24
// replicas in detail; above that each is a strip. No I/O.
#pragma once

#include <string>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

struct PlotOptions {
  std::string out;  // its ending says the form: .svg or .png
  std::string title;
  int width = 1400;  // pixels
};

inline constexpr std::size_t kMaxDetailedTimelines = 24;
inline constexpr std::size_t kMaxPlottedTimelines = 400;  // those with most failures, changes and anomalies

// Throws std::runtime_error for an ending that is neither.
std::string TimelinePlotScript(const ReplicaTimelines& timelines, const PlotOptions& options);

}  // namespace ryeglade::timeline
