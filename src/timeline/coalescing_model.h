// Holds the record to its budget of bytes: while decisions come faster, they are counted instead
// of kept, and the counts stand in the record. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

class RecordBudget {
 public:
  // A second's worth may come at once. Once spent, nothing is kept until a quarter of that is back, so that a
  // burst leaves few holes rather than many.
  explicit RecordBudget(std::size_t bytes_per_second)
      : bytes_per_second_(static_cast<double>(bytes_per_second)), available_(bytes_per_second_) {}

  // Whether what comes now may be kept; Spend what it took.
  bool MayKeep(Time now);
  void Spend(std::size_t bytes) { available_ -= static_cast<double>(bytes); }

 private:
  double bytes_per_second_, available_;
  Time at_ = 0;
  bool exhausted_ = false;
};

class Coalescer {
 public:
  static constexpr std::size_t kMaxReplicas = 64;  // counted one by one
  static constexpr Time kMaxSpan = 1'000'000;      // of one burst record

  void Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  bool Due(Time now) const { return counted_.decisions > 0 && now - counted_.first >= kMaxSpan; }
  // What was counted since the last call; absent: nothing.
  std::optional<CoalescedDecisions> TakeCounted();

 private:
  CoalescedReplica* FindOrAdd(policy::ReplicaId id);
  CoalescedDecisions counted_;
};

}  // namespace ryeglade::timeline
