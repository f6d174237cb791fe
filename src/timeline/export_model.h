// Replica timelines as tables, for CSV and for the columnar file. Performs no I/O.
#pragma once

#include <vector>

#include "base/text_table.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

// Returns the tables `bins` (one row per replica and bin), `fleet` (one row per bin), `states`, `rests` (the
// ejections), `events` (the anomalies) and `marks` (the annotations). A load that was not reported is NaN
// (an empty field in CSV), and never zero.
std::vector<TextTable> TimelineTables(const ReplicaTimelines& timelines);

}  // namespace ryeglade::timeline
