// What the modules of a node share. The node owns it all; nothing here is reached from outside its loop.
#pragma once

#include <uv.h>

#include "base/buffers.h"
#include "base/deadlines.h"
#include "settings/config.h"

namespace ryeglade {

class Decisions;
class Discovery;
class Streams;
class Upstream;

struct Core {
  uv_loop_t* loop = nullptr;
  const Config* config = nullptr;
  Deadlines* deadlines = nullptr;
  Buffers* buffers = nullptr;
  Streams* streams = nullptr;
  Decisions* decisions = nullptr;
  Upstream* upstream = nullptr;
  Discovery* discovery = nullptr;
};

}  // namespace ryeglade
