// How well this node itself seems to be (Lifeguard's local health multiplier): the worse, the longer it waits
// before it suspects others. No I/O, no clock.
#pragma once

#include <algorithm>

#include "ryeglade/router.h"

namespace ryeglade::membership {

// A score, and the spans that it stretches.
class LocalHealth {
 public:
  static constexpr int kMaxScore = 8;

  // Not enabled: always healthy.
  explicit LocalHealth(bool enabled) : enabled_(enabled) {}

  // 0: healthy, to kMaxScore: in trouble.
  int score() const { return score_; }
  void Worsen(int by) { Change(by); }
  void Improve() { Change(-1); }

  policy::Time Scaled(policy::Time span) const { return span * (1 + score_); }
  // For what is waited for before this node suspects itself: grows with its trouble too, but not without end.
  policy::Time ScaledAtMostTwice(policy::Time span) const { return score_ > 0 ? 2 * span : span; }

 private:
  void Change(int by) {
    if (enabled_) score_ = std::clamp(score_ + by, 0, kMaxScore);
  }

  bool enabled_;
  int score_ = 0;
};

}  // namespace ryeglade::membership
