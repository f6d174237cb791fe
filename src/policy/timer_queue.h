// What the Router has to do at given times. The host has one timer armed for it at a time, for the earliest
// of them. Times are microseconds.
#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>
#include <optional>
#include <queue>
#include <vector>

#include "ryeglade/actions.h"
#include "ryeglade/events.h"
#include "ryeglade/time.h"

namespace ryeglade::policy {

enum class TimerKind : std::uint8_t {
  kQueueTimeout,     // a queued request's latest useful dispatch
  kObjectiveMissed,  // a queued request can no longer meet its latency objective
  kUpdateLimits,     // an ejection ends: limits change
  kPollEndpoints,
};

struct Timer {
  Time at = 0;
  std::uint64_t order = 0;  // of scheduling, among those of one time
  TimerKind kind = TimerKind::kUpdateLimits;
  RequestId request = 0;  // 0 where the kind has none
  auto operator<=>(const Timer&) const = default;
};

class TimerQueue {
 public:
  void Schedule(Time at, TimerKind kind, RequestId request = 0) {
    timers_.push({at, ++order_, kind, request});
  }

  // The next timer that is due, removed from the queue.
  std::optional<Timer> PopDue(Time now) {
    if (timers_.empty() || timers_.top().at > now) return std::nullopt;
    const Timer due = timers_.top();
    timers_.pop();
    return due;
  }

  // What the host has to arm: set when nothing as early as the first timer is armed.
  std::optional<SetTimer> Arm(Time now) {
    if (timers_.empty() || timers_.top().at >= armed_for_) return std::nullopt;
    armed_for_ = timers_.top().at;
    return SetTimer{++token_, std::max<Time>(0, armed_for_ - now)};
  }

  // The host's timer has fired; one that a later SetTimer replaced is ignored.
  void Fired(std::uint64_t token) {
    if (token == token_) armed_for_ = kNever;
  }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::max();

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t order_ = 0;
  Time armed_for_ = kNever;
  std::uint64_t token_ = 0;
};

}  // namespace ryeglade::policy
