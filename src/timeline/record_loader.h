// Loads whole flight records as replica timelines, with the anomalies that the node recorded or, if it
// recorded none, with those detected here.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "timeline/reader.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

using ReadProgress = std::function<void(std::size_t file, std::size_t of)>;

struct LoadOptions {
  // From and to, or only from: Unix time in milliseconds, or "+SECONDS" since the begin. Empty: no bounds.
  std::vector<std::string> span;
  std::uint32_t max_bins = 1800;
  bool detect_again = false;  // detect the anomalies here, and ignore those that the node recorded
  ReadProgress progress;
};

struct LoadedTimelines {
  ReplicaTimelines timelines;  // closed
  ReadTotals totals;
};

// Returns the bounds given by `span`. Throws std::runtime_error if one of them is not a time.
ReplicaTimelineOptions BoundsOf(const LoadOptions& options, const std::vector<std::string>& files);
// Loads the record of one node. Throws std::runtime_error.
LoadedTimelines LoadTimelines(const std::vector<std::string>& paths, const LoadOptions& options);
// Loads one node per path, which is a directory or a file. Appends a description of what was lost to
// `losses`.
std::vector<ReplicaTimelines> LoadNodes(const std::vector<std::string>& paths, const LoadOptions& options,
                                        std::string* losses);

}  // namespace ryeglade::timeline
