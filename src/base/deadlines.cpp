#include "base/deadlines.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ryeglade {
namespace {

// A deadline that is overdue by more than this shows that the process was stopped for a while. Microseconds.
constexpr Time kStallThreshold = 20'000;

}  // namespace

Time Now() {
  static const Time origin = std::chrono::duration_cast<std::chrono::microseconds>(
                                 std::chrono::system_clock::now().time_since_epoch())
                                 .count() -
                             static_cast<Time>(uv_hrtime() / 1000);
  return origin + static_cast<Time>(uv_hrtime() / 1000);
}

Deadlines::Deadlines(uv_loop_t* loop) {
  uv_timer_init(loop, &timer_);
  uv_prepare_init(loop, &prepare_);
  uv_check_init(loop, &check_);
  timer_.data = this;
  prepare_.data = this;
  check_.data = this;
  uv_prepare_start(&prepare_, [](uv_prepare_t* h) { static_cast<Deadlines*>(h->data)->Arm(); });
  uv_check_start(&check_, [](uv_check_t* h) { static_cast<Deadlines*>(h->data)->Sweep(); });
}

DeadlineId Deadlines::Set(Time at, std::function<void()> callback) {
  const DeadlineId id{at, ++last_order_};
  pending_.emplace(id, std::move(callback));
  return id;
}

void Deadlines::Cancel(DeadlineId& id) {
  if (id.order != 0) pending_.erase(id);
  id = {};
}

void Deadlines::Arm() {
  if (pending_.empty()) {
    uv_timer_stop(&timer_);
    return;
  }
  const Time wait = std::max<Time>(0, pending_.begin()->first.at - Now());
  // Sweep calls the callbacks; the timer only ends the wait for sockets.
  uv_update_time(timer_.loop);
  uv_timer_start(
      &timer_, [](uv_timer_t*) {}, static_cast<std::uint64_t>((wait + 999) / 1000), 0);
}

// After the process was stopped for a while, the loop can return from its wait without having read the
// sockets. Deadlines must not be acted on before data that arrived in time is read, so the first sweep after
// such a stop is skipped and the sockets are read once more.
bool Deadlines::ShouldReadSocketsFirst(Time now) {
  const bool late = !pending_.empty() && now - pending_.begin()->first.at > kStallThreshold;
  reading_first_ = late && !reading_first_;
  return reading_first_;
}

void Deadlines::Sweep() {
  const Time now = Now();
  if (ShouldReadSocketsFirst(now)) return;
  // Deadlines that callbacks set during this sweep are run in the next iteration at the earliest, so that
  // sockets are served in between.
  const std::uint64_t last = last_order_;
  while (!pending_.empty()) {
    auto it = pending_.begin();
    while (it != pending_.end() && it->first.at <= now && it->first.order > last) ++it;
    if (it == pending_.end() || it->first.at > now) return;
    const std::function<void()> callback = std::move(it->second);
    pending_.erase(it);
    callback();
  }
}

void Deadlines::Close() {
  pending_.clear();
  uv_close(reinterpret_cast<uv_handle_t*>(&timer_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
}

}  // namespace ryeglade
