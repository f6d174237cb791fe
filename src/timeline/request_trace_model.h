// Traces one request through a flight record with reasons: its parameters, the replicas that it was sent to
// and why, the outcome of each attempt, its conclusion, and the states of the replicas involved. Performs no
// I/O and reads no clock.
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
  // `id` is the request's id in the decision module in hexadecimal, or the client's id of it, with or without
  // the prefix "req_".
  explicit RequestTrace(std::string id);

  // Records are added in order, including the reasons.
  void AddRecord(const Record& record);
  // Returns the trace as lines of text; empty if the request does not occur.
  std::vector<std::string> Lines() const;
  std::size_t found() const { return found_; }  // number of requests with that id so far

 private:
  bool IsTraced(policy::RequestId id) const { return traced_.contains(id); }
  void AddLine(Time at, const std::string& text);
  std::string ReplicaTitle(policy::ReplicaId id) const;
  std::string StateText(policy::ReplicaId id, Time at) const;

  std::string id_;
  std::uint64_t number_ = 0;  // id_ as a hexadecimal number, if is_number_
  bool is_number_ = false;
  std::set<policy::RequestId> traced_;                // open requests with that id
  std::map<policy::RequestId, Time> arrived_;         // when each traced request arrived
  std::map<policy::RequestId, std::string> matched_;  // call ids of requests that have not arrived yet
  std::size_t found_ = 0;
  std::vector<std::string> lines_;
  ReplicaTimelines timelines_{ReplicaTimelineOptions{.max_bins = 1}};
  std::map<std::uint64_t, Anomaly> open_anomalies_;  // by number
};

}  // namespace ryeglade::timeline
