// Loads whole flight records as replica timelines, with the anomalies that the node recorded or, if it
// recorded none, with those detected here.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "timeline/reader.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

// Receives the number of the next file, from 1, and the number of files.
using ReadProgress = std::function<void(std::size_t file, std::size_t of)>;

struct LoadOptions {
  // Begin and end, or only the begin: Unix time in milliseconds, or "+SECONDS" since the begin of the record.
  // If empty, there are no bounds.
  std::vector<std::string> span;
  std::uint32_t max_bins = 1800;  // the bins of a longer record become wider
  bool detect_again = false;      // detect the anomalies here, and ignore those that the node recorded
  ReadProgress progress;          // called before each file; may be null
};

struct LoadedTimelines {
  ReplicaTimelines timelines;  // closed
  ReadTotals totals;
};

// Returns the bounds given by `span`; times relative to the begin refer to the first of `files`. Throws
// std::runtime_error if one of them is not a time, or if the second is before the first.
ReplicaTimelineOptions BoundsOf(const LoadOptions& options, const std::vector<std::string>& files);
// Loads the record of one node. Throws std::runtime_error if there is no flight record in `paths`, if one of
// them cannot be read, or if `span` is invalid.
LoadedTimelines LoadTimelines(const std::vector<std::string>& paths, const LoadOptions& options);
// Loads one node per path, which is a directory or a file. Appends a description of what was lost to
// `losses`. Throws as LoadTimelines does.
std::vector<ReplicaTimelines> LoadNodes(const std::vector<std::string>& paths, const LoadOptions& options,
                                        std::string* losses);

}  // namespace ryeglade::timeline
