// Blocking work beside an event loop: on one of libuv's worker threads, with its completion on the loop.
#pragma once

#include <uv.h>

#include <functional>

namespace ryeglade::rollout {

// Calls `work` on a worker thread, then `done` on the loop's thread. The loop runs until `done` was called.
// `work` must not throw and must not touch what belongs to the loop.
void RunInBackground(uv_loop_t* loop, std::function<void()> work, std::function<void()> done);

}  // namespace ryeglade::rollout
