// ReplicaTimelines as tables: columns of numbers and words, for CSV and for the columnar file. No I/O.
#pragma once

#include <vector>

#include "base/text_table.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

// `bins` (replica by bin), `fleet`, `states`, `rests`, `events` and `marks`. A load that was not reported is
// NaN, in CSV an empty field: never zero.
std::vector<TextTable> TimelineTables(const ReplicaTimelines& timelines);

}  // namespace ryeglade::timeline
