// What the components of the core share: the runtime, the configuration, and the interfaces (ports) by which
// they call each other. The node fills it in.
#pragma once

#include "base/runtime.h"
#include "core/dialect.h"
#include "core/node_counters.h"
#include "core/ports.h"
#include "settings/config.h"

namespace ryeglade {

// Nothing is owned here; everything outlives the components that use it.
struct Core : Runtime {
  const Config* config = nullptr;
  Dialect* dialect = nullptr;  // protocol of the upstream hosts
  EventPort* events = nullptr;
  ConclusionPort* conclusions = nullptr;
  ResponsePort* responses = nullptr;
  AttemptPort* attempts = nullptr;
  UpstreamRequestPort* upstream_requests = nullptr;
  UpstreamHostPort* hosts = nullptr;
  EndpointDiscoveryPort* discovery = nullptr;
  StreamObserver* stream_observer = nullptr;      // nullptr if there is no observer
  EndpointObserver* endpoint_observer = nullptr;  // nullptr if there is no observer
  NodeCounters* counters = nullptr;               // never nullptr once the node has filled this in
  const RetrySafetyPort* retry_safety = nullptr;
};

}  // namespace ryeglade
