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

  // Returns whether a record at this time may be written. If so, the caller then calls Spend with its size.
  bool MayKeep(Time now);
  void Spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

 private:
  double bytes_per_second_;
  double available_;        // bytes; negative after a record that exceeded the rest of the budget
  Time at_ = 0;             // time of the last refill; 0 before the first
  bool exhausted_ = false;  // set until a quarter of a second's budget is available again
};

// Counts decisions that are not recorded.
class Coalescer {
 public:
  // Number of replicas that are counted separately; attempts at further replicas are counted together.
  static constexpr std::size_t kMaxReplicas = 64;
  static constexpr Time kMaxSpan = 1'000'000;  // time that one CoalescedDecisions record may cover

  void Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  // Returns whether the counts cover kMaxSpan and should be recorded.
  bool Due(Time now) const { return counted_.decisions > 0 && now - counted_.first >= kMaxSpan; }
  // Returns the counts since the last call, or nullopt if no decision was counted.
  std::optional<CoalescedDecisions> TakeCounted();

 private:
  CoalescedReplica* FindOrAdd(policy::ReplicaId id);
  CoalescedDecisions counted_;
};

}  // namespace ryeglade::timeline
