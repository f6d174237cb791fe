// One request's whole story, from a record with its reasons: what it was, who was asked and why, what came of
// it, how it ended, and what was known of the replicas that it met. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "timeline/flight_record_codec.h"
#include "timeline/replica_timeline_model.h"

namespace ryeglade::timeline {

class RequestTrace {
 public:
  // The module's number of the request in hexadecimal, or what its client calls it.
  explicit RequestTrace(std::string id);

  // In the record's order, reasons included.
  void AddRecord(const Record& record);
  // Lines of text; empty: it was not met.
  std::vector<std::string> Lines() const;
  std::size_t found() const { return found_; }  // requests by that name

 private:
  bool IsTraced(policy::RequestId id) const { return traced_.contains(id); }
  void AddLine(Time at, const std::string& text);
  std::string ReplicaTitle(policy::ReplicaId id) const;
  std::string StateText(policy::ReplicaId id, Time at) const;

  std::string id_;
  std::uint64_t number_ = 0;
  bool is_number_ = false;
  std::set<policy::RequestId> traced_;  // open now
  std::map<policy::RequestId, Time> arrived_;
  std::map<policy::RequestId, std::string> matched_;  // call ids of requests that have not arrived yet
  std::size_t found_ = 0;
  std::vector<std::string> lines_;
  ReplicaTimelines timelines_{ReplicaTimelineOptions{.max_bins = 1}};
  std::map<std::uint64_t, Anomaly> open_anomalies_;  // by number
};

}  // namespace ryeglade::timeline
