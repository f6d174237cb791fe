// The event loop and the services on it that all code above src/base uses. The node owns them.
#pragma once

#include <uv.h>

#include "base/buffer_pool.h"
#include "base/deadlines.h"

namespace ryeglade {

// Nothing is owned here. Everything is used from the loop's thread only.
struct Runtime {
  uv_loop_t* loop = nullptr;
  Deadlines* deadlines = nullptr;
  BufferPool* buffers = nullptr;
};

}  // namespace ryeglade
