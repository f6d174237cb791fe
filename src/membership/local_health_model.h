// An estimate of this node's own health (Lifeguard's local health multiplier). The worse the health, the
// longer the node waits before it suspects others. No I/O, no clock.
#pragma once

#include <algorithm>

#include "ryeglade/router.h"

namespace ryeglade::membership {

// Keeps the health score and scales time spans by it.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;

  // If `enabled` is false, the score stays 0 (healthy).
  explicit LocalHealth(bool enabled) : enabled_(enabled) {}

  // From 0 (healthy) to kMaxScore (this node itself is probably at fault).
  int score() const { return score_; }
  void Worsen(int by) { Change(by); }
  void Improve() { Change(-1); }

  policy::Time Scaled(policy::Time span) const { return span * (1 + score_); }
  // For spans that must stay bounded, such as the time without any round trip after which this node suspects
  // a partition: twice the span if the score is above 0.
  policy::Time ScaledAtMostTwice(policy::Time span) const { return score_ > 0 ? 2 * span : span; }

 private:
  void Change(int by) {
    if (enabled_) score_ = std::clamp(score_ + by, 0, kMaxScore);
  }

  bool enabled_;
  int score_ = 0;
};

}  // namespace ryeglade::membership
