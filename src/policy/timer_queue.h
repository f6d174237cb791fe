// The timers of the Router. The host has to keep only one timer armed at a time, for the earliest of them.
// Times are microseconds.
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
  kQueueTimeout,     // the latest useful dispatch of a queued request has passed
  kObjectiveMissed,  // a queued request can no longer meet its latency objective
  kUpdateLimits,     // an ejection, or a pause after "at capacity", ends, which changes the limits
  kPollEndpoints,    // the endpoint list has to be requested
};

// Members are compared in the order of their declaration.
struct Timer {
  Time at = 0;
  std::uint64_t order = 0;  // sequence number: timers for the same time are due in the order of scheduling
  TimerKind kind = TimerKind::kUpdateLimits;
  RequestId request = 0;  // for kQueueTimeout and kObjectiveMissed; else 0
  auto operator<=>(const Timer&) const = default;
};

class TimerQueue {
 public:
  void Schedule(Time at, TimerKind kind, RequestId request = 0) {
    timers_.push({at, ++order_, kind, request});
  }

  // Removes and returns the first timer, or returns nullopt if it is not due.
  std::optional<Timer> PopDue(Time now) {
    if (timers_.empty() || timers_.top().at > now) return std::nullopt;
    const Timer due = timers_.top();
    timers_.pop();
    return due;
  }

  // Returns the timer that the host has to arm, or nullopt if one as early as the first timer is armed.
  std::optional<SetTimer> Arm(Time now) {
    if (timers_.empty() || timers_.top().at >= armed_for_) return std::nullopt;
    armed_for_ = timers_.top().at;
    return SetTimer{++token_, std::max<Time>(0, armed_for_ - now)};
  }

  // The host's timer has fired. A timer that a later SetTimer has replaced is ignored.
  void Fired(std::uint64_t token) {
    if (token == token_) armed_for_ = kNever;
  }

 private:
  static constexpr Time kNever = std::numeric_limits<Time>::max();

  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers_;
  std::uint64_t order_ = 0;
  Time armed_for_ = kNever;  // the time for which the host has a timer armed; kNever: none
  std::uint64_t token_ = 0;  // of the last SetTimer
};

}  // namespace ryeglade::policy
