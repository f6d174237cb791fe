// Runs blocking work on one of libuv's worker threads and reports its completion on the event loop.
#pragma once

#include <uv.h>

#include <functional>

namespace ryeglade::rollout {

// Calls `work` on a worker thread, then `done` on the loop's thread. The loop keeps running until `done` has
// been called. `work` must not throw and must not access data that belongs to the loop's thread.
void RunInBackground(uv_loop_t* loop, std::function<void()> work, std::function<void()> done);

}  // namespace ryeglade::rollout
