// Every deadline of the node, the decision module's timers among them, in one ordered structure. It is swept
// once each turn of the loop; one uv timer is armed for the earliest.
#pragma once

#include <uv.h>

#include <compare>
#include <cstdint>
#include <functional>
#include <map>

#include "ryeglade/router.h"

namespace ryeglade {

using policy::Time;

// Unix time in microseconds when the program started, and steady from there: the origin is the one that
// startedAtMs has, but a step of the system clock moves nothing.
Time Now();

// Names a deadline that is set; in the order in which they come due.
struct DeadlineId {
  Time at = 0;
  std::uint64_t order = 0;  // 0: none
  auto operator<=>(const DeadlineId&) const = default;
};

// Calls back on the loop once a time has come, in the order of times. One a loop.
class Deadlines {
 public:
  explicit Deadlines(uv_loop_t* loop);
  DeadlineId Set(Time at, std::function<void()> callback);
  void Cancel(DeadlineId& id);  // and clears it
  void Close();

 private:
  bool ShouldReadSocketsFirst(Time now);
  void Sweep();
  void Arm();
  std::map<DeadlineId, std::function<void()>> pending_;
  std::uint64_t last_order_ = 0;
  bool reading_first_ = false;  // the sockets are read once more before what is overdue is acted on
  uv_timer_t timer_{};
  uv_prepare_t prepare_{};
  uv_check_t check_{};
};

}  // namespace ryeglade
