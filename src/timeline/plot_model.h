// A picture of lanes as a gnuplot script: the fleet's traffic above, then a lane for each replica with its
// state, what it was sent, what failed, how long first tokens took, its rests and what was unusual. Up to 24
// lanes in full; above that each lane is a strip. No I/O.
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
inline constexpr std::size_t kMaxPlottedTimelines = 400;  // lanes; those with most to tell come first

// Throws std::runtime_error for an ending that is neither.
std::string TimelinePlotScript(const ReplicaTimelines& lanes, const PlotOptions& options);

}  // namespace ryeglade::timeline
