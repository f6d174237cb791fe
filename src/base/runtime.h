// What everything above src/base runs on. The node owns it; nothing here is reached from outside its loop.
#pragma once

#include <uv.h>

#include "base/buffer_pool.h"
#include "base/deadlines.h"

namespace ryeglade {

// Nothing is owned here. All of it is used from the thread of the loop only.
struct Runtime {
  uv_loop_t* loop = nullptr;
  Deadlines* deadlines = nullptr;
  BufferPool* buffers = nullptr;
};

}  // namespace ryeglade
