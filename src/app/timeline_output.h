// Replica timelines and anomalies as text on stdout, for `ryeglade timeline`.
#pragma once

#include <string>

#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

// Writes the text to stdout as it is.
void Print(const std::string& text);

// Returns the time of day in UTC, with milliseconds. `at` is Unix time in microseconds.
std::string ClockText(Time at);
// Returns one line, with the line end.
std::string AnomalyLine(const ReplicaTimelines& timelines, const Anomaly& anomaly);

// Prints the states, ejections, annotations and anomalies of one replica in the order of time, then its bins.
void PrintReplica(const ReplicaTimelines& timelines, const ReplicaTimeline& replica);
// Prints one line for each replica, then the totals of the fleet.
void PrintFleet(const ReplicaTimelines& timelines);

}  // namespace ryeglade::timeline
