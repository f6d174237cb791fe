// Keeps the flight record within its budget of bytes per second. While decisions exceed it, they are counted
// instead of recorded, and the counts are recorded. Performs no I/O and reads no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

class RecordBudget {
 public:
  // A token bucket that holds one second's budget. Once it is exhausted, nothing is recorded until a quarter
  // of that is available again, so that a burst leaves a few long gaps rather than many short ones.
  explicit RecordBudget(std::size_t bytes_per_second)
      : bytes_per_second_(static_cast<double>(bytes_per_second)), available_(bytes_per_second_) {}

  // Returns whether a record at this time may be written. The caller then calls Spend with its size.
  bool MayKeep(Time now);
  void Spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

 private:
  double bytes_per_second_, available_;
  Time at_ = 0;             // of the last refill
  bool exhausted_ = false;  // until a quarter of a second's budget is available again
};

class Coalescer {
 public:
  static constexpr std::size_t kMaxReplicas = 64;  // counted separately; attempts at others are added up
  static constexpr Time kMaxSpan = 1'000'000;      // of one CoalescedDecisions record

  void Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  bool Due(Time now) const { return counted_.decisions > 0 && now - counted_.first >= kMaxSpan; }
  // Returns the counts since the last call, or nullopt if no decision was counted.
  std::optional<CoalescedDecisions> TakeCounted();

 private:
  CoalescedReplica* FindOrAdd(policy::ReplicaId id);
  CoalescedDecisions counted_;
};

}  // namespace ryeglade::timeline
