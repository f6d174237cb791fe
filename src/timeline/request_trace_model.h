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

class Story {
 public:
  // The module's number of the request in hexadecimal, or what its client calls it.
  explicit Story(std::string id);

  // In the record's order, reasons included.
  void Take(const Record& record);
  // Lines of words; empty: it was not met.
  std::vector<std::string> Lines() const;
  std::size_t found() const { return found_; }  // requests by that name

 private:
  bool Mine(policy::RequestId id) const { return mine_.contains(id); }
  void Say(Time at, const std::string& words);
  std::string Who(policy::ReplicaId id) const;
  std::string State(policy::ReplicaId id, Time at) const;

  std::string id_;
  std::uint64_t number_ = 0;
  bool is_number_ = false;
  std::set<policy::RequestId> mine_;  // open now
  std::map<policy::RequestId, Time> arrived_;
  std::map<policy::RequestId, std::string> named_;  // that have not arrived yet
  std::size_t found_ = 0;
  std::vector<std::string> lines_;
  Lanes lanes_{LaneOptions{.most_bins = 1}};
  std::map<std::uint64_t, Unusual> open_;  // unusual events that last
};

}  // namespace ryeglade::timeline
