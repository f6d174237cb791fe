// DisabledReplicas the record to its budget of bytes: while decisions come faster, they are counted instead
// of kept, and the counts stand in the record. No I/O, no clock.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "ryeglade/router.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

class Budget {
 public:
  // A second's worth may come at once. Once spent, nothing is kept until a quarter of that is back, so that a
  // burst leaves few holes rather than many.
  explicit Budget(std::size_t bytes_per_second)
      : rate_(static_cast<double>(bytes_per_second)), left_(rate_) {}

  // Whether what comes now may be kept; Spend what it took.
  bool Open(Time now);
  void Spend(std::size_t bytes) { left_ -= static_cast<double>(bytes); }

 private:
  double rate_, left_;
  Time at_ = 0;
  bool shut_ = false;
};

class Coalescer {
 public:
  static constexpr std::size_t kMostReplicas = 64;  // counted one by one
  static constexpr Time kLongest = 1'000'000;       // of one burst record

  void Count(Time now, const policy::Event& event, const std::vector<policy::Action>& actions);
  bool Due(Time now) const { return burst_.decisions > 0 && now - burst_.first >= kLongest; }
  // What was counted since the last call; absent: nothing.
  std::optional<Burst> Cut();

 private:
  BurstReplica* At(policy::ReplicaId id);
  Burst burst_;
};

}  // namespace ryeglade::timeline
