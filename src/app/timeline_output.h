// Replica timelines and anomalies as text on stdout, for `ryeglade timeline`.
#pragma once

#include <string>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

void Print(const std::string& text);

// Time of day in UTC, with milliseconds.
std::string ClockText(Time at);
// One line, with its end.
std::string AnomalyLine(const ReplicaTimelines& timelines, const Anomaly& anomaly);

// One replica over the record: its states, ejections, annotations and anomalies, then its bins.
void PrintReplica(const ReplicaTimelines& timelines, const ReplicaTimeline& replica);
// One line for each replica, then the fleet's totals.
void PrintFleet(const ReplicaTimelines& timelines);

}  // namespace ryeglade::timeline
