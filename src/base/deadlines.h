// All deadlines of the node, including the decision module's timers, in one ordered map. It is swept once in
// each iteration of the loop; one uv timer is armed for the earliest deadline.
#pragma once

#include <uv.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "ryeglade/router.h"

namespace ryeglade {

using policy::Time;

// Returns the time in microseconds: the Unix time at the start of the program plus the monotonic time since
// then. It is therefore comparable with discovery's startedAtMs but not affected by steps of the system
// clock.
Time Now();

// Identifies a deadline that is set. Ordered by due time.
struct DeadlineId {
  Time at = 0;              // when the deadline is due, as a time of Now()
  std::uint64_t order = 0;  // order in which deadlines were set; 0 if there is no deadline
  auto operator<=>(const DeadlineId&) const = default;
};

// Runs callbacks on the loop when their times have come, in the order of the times. One object per loop.
class Deadlines {
 public:
  explicit Deadlines(uv_loop_t* loop);
  // Calls `callback` once, in the first iteration of the loop in which `at` has come; never from within Set.
  DeadlineId Set(Time at, std::function<void()> callback);
  // Also clears `id`. Does nothing to a deadline that has already been run.
  void Cancel(DeadlineId& id);
  // Drops all deadlines without running them. The loop must run once more before the object is destroyed.
  void Close();

 private:
  bool ShouldReadSocketsFirst(Time now);
  void Sweep();
  void Arm();
  std::map<DeadlineId, std::function<void()>> pending_;
  std::uint64_t last_order_ = 0;
  bool reading_first_ = false;  // the last sweep was skipped so that the sockets are read first
  uv_timer_t timer_{};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
};

}  // namespace ryeglade
