// Replica timelines of whole flight records, with the anomalies: as the node recorded them, or else detected
// here.
#pragma once

#include <functional>
#include <string>
#include <vector>

#include "timeline/reader.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

using ReadProgress = std::function<void(std::size_t file, std::size_t of)>;

struct LoadOptions {
  std::vector<std::string> span;  // from and to: Unix time in milliseconds, or "+SECONDS" since the begin
  std::uint32_t max_bins = 1800;
  bool detect_again = false;  // anomalies, instead of those that the node recorded
  ReadProgress progress;
};

struct LoadedTimelines {
  ReplicaTimelines timelines;  // closed
  ReadTotals totals;
};

// The bounds that `span` asks for. Throws std::runtime_error for what is no time.
ReplicaTimelineOptions BoundsOf(const LoadOptions& options, const std::vector<std::string>& files);
// One node's record. Throws std::runtime_error.
LoadedTimelines LoadTimelines(const std::vector<std::string>& paths, const LoadOptions& options);
// Each path is one node: a directory, or a file. What was lost is added to `losses` in words.
std::vector<ReplicaTimelines> LoadNodes(const std::vector<std::string>& paths, const LoadOptions& options,
                                        std::string* losses);

}  // namespace ryeglade::timeline
