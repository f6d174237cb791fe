// Replica timelines as a gnuplot script: a panel with the fleet's traffic, and below it one row per replica
// with its state, the attempts sent and failed, the times to first token, its ejections and its anomalies.
// With more than kMaxDetailedTimelines replicas each row is a plain strip. Performs no I/O.
#pragma once

#include <string>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

struct PlotOptions {
  std::string out;    // path of the image; its extension, .svg or .png, selects the format
  std::string title;  // if empty, the name of the node
  int width = 1400;   // pixels
};

inline constexpr std::size_t kMaxDetailedTimelines = 24;  // with more replicas, each row is a plain strip
// If there are more replicas, those with the most failures, state changes and anomalies are plotted.
inline constexpr std::size_t kMaxPlottedTimelines = 400;

// Returns the script. Throws std::runtime_error if the extension of the image is neither .svg nor .png.
std::string TimelinePlotScript(const ReplicaTimelines& timelines, const PlotOptions& options);

}  // namespace ryeglade::timeline
