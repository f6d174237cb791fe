#include "base/deadlines.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace ryeglade {
namespace {

constexpr Time kLate =
    20'000;  // a deadline that is acted on later than this was missed: the process was held up

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
  timer_.data = prepare_.data = check_.data = this;
  uv_prepare_start(&prepare_, [](uv_prepare_t* h) { static_cast<Deadlines*>(h->data)->Arm(); });
  uv_check_start(&check_, [](uv_check_t* h) { static_cast<Deadlines*>(h->data)->Sweep(); });
}

DeadlineId Deadlines::Set(Time at, std::function<void()> what) {
  const DeadlineId id{at, ++order_};
  all_.emplace(id, std::move(what));
  return id;
}

void Deadlines::Cancel(DeadlineId& id) {
  if (id.order != 0) all_.erase(id);
  id = {};
}

void Deadlines::Arm() {
  if (all_.empty()) {
    uv_timer_stop(&timer_);
    return;
  }
  const Time wait = std::max<Time>(0, all_.begin()->first.at - Now());
  // The sweep does the work; the timer only ends the wait for sockets.
  uv_update_time(timer_.loop);
  uv_timer_start(
      &timer_, [](uv_timer_t*) {}, static_cast<std::uint64_t>((wait + 999) / 1000), 0);
}

// Guards against acting on a time that has passed before what came in time is read: a process that was held
// up (a stopped one leaves the wait for sockets without having looked at them) reads its sockets once more
// first.
bool Deadlines::ReadFirst(Time now) {
  const bool late = !all_.empty() && now - all_.begin()->first.at > kLate;
  read_first_ = late && !read_first_;
  return read_first_;
}

void Deadlines::Sweep() {
  const Time now = Now();
  if (ReadFirst(now)) return;
  // What a callback sets for this very moment waits for the next turn: the sockets get theirs in between.
  const std::uint64_t last = order_;
  while (!all_.empty()) {
    auto it = all_.begin();
    while (it != all_.end() && it->first.at <= now && it->first.order > last) ++it;
    if (it == all_.end() || it->first.at > now) return;
    const std::function<void()> what = std::move(it->second);
    all_.erase(it);
    what();
  }
}

void Deadlines::Close() {
  all_.clear();
  uv_close(reinterpret_cast<uv_handle_t*>(&timer_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&prepare_), nullptr);
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
}

}  // namespace ryeglade
