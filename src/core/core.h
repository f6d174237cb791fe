// What the parts of the core share: the runtime, the configuration, and each other by port. The node puts it
// together.
#pragma once

#include "base/runtime.h"
#include "core/dialect.h"
#include "core/node_counters.h"
#include "core/ports.h"
#include "settings/config.h"

namespace ryeglade {

// Nothing is owned here; all of it outlives its parts' use of it.
struct Core : Runtime {
  const Config* config = nullptr;
  Dialect* dialect = nullptr;  // that the upstream hosts speak
  EventPort* events = nullptr;
  ConclusionPort* conclusions = nullptr;
  ResponsePort* responses = nullptr;
  AttemptPort* attempts = nullptr;
  UpstreamRequestPort* upstream_requests = nullptr;
  UpstreamHostPort* hosts = nullptr;
  EndpointDiscoveryPort* discovery = nullptr;
  StreamObserver* stream_observer = nullptr;      // null: nobody observes, at no cost
  EndpointObserver* endpoint_observer = nullptr;  // the same
  NodeCounters* counters = nullptr;  // what was done, for the counters; never null once put together
  const RetrySafetyPort* retry_safety = nullptr;
};

}  // namespace ryeglade
