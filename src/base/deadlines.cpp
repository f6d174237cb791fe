#include "base/deadlines.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ryeglade {
namespace {

// A deadline that is acted on later than this was missed: the process was stopped for a while.
constexpr Time kMissedAfter = 20'000;

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
  // The sweep does the work; the timer only ends the wait for sockets.
  uv_update_time(timer_.loop);
  uv_timer_start(
      &timer_, [](uv_timer_t*) {}, static_cast<std::uint64_t>((wait + 999) / 1000), 0);
}

// Guards against acting on a time that has passed before what came in time is read: a process that
// was stopped for a while leaves the wait for sockets without having looked at them, and so reads its sockets
// once more first.
bool Deadlines::ShouldReadSocketsFirst(Time now) {
  const bool late = !pending_.empty() && now - pending_.begin()->first.at > kMissedAfter;
  reading_first_ = late && !reading_first_;
  return reading_first_;
}

void Deadlines::Sweep() {
  const Time now = Now();
  if (ShouldReadSocketsFirst(now)) return;
  // What a callback sets for this very moment waits for the next turn: the sockets get theirs in between.
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
