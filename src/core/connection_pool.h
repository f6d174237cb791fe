// Connections to upstream hosts: opened for a request, returned once its response is complete, and used
// again. The pool owns the sockets; their events go to `owner`, by the connection's handle.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/core.h"
#include "core/response_parser.h"
#include "core/upstream_host_table.h"

namespace ryeglade {

// One connection: idle in the pool, or in use by one request.
struct UpstreamConnection {
  ReplicaId host = 0;
  Tcp* tcp = nullptr;
  ResponseParser response;  // to the current request
  std::string opening;      // body bytes kept back until there is a complete event
  bool connected = false;
  bool request_written = false;  // the complete request was handed to the socket
  Time idle_since = 0;
  Time first_byte_at = 0;  // of the current response; 0: none yet
  DeadlineId deadline;     // to be connected; in the pool: to be closed
  Handle request = 0;      // 0: idle, in the pool
};

// Not thread-safe; all callbacks come on the loop.
class ConnectionPool {
 public:
  // None is owned. `max_connections` counts those in use and those that are idle.
  ConnectionPool(Core* core, const UpstreamHostTable* hosts, TcpOwner* owner, std::size_t max_connections)
      : core_(core), hosts_(hosts), owner_(owner), max_connections_(max_connections) {}

  // Null: closed meanwhile.
  UpstreamConnection* Find(Handle connection) { return connections_.Get(connection); }
  const UpstreamConnection* Find(Handle connection) const { return connections_.Get(connection); }

  // A connection that is being opened, or why it can't be, as an errno value.
  struct OpenResult {
    Handle connection = 0;
    int error = 0;
  };
  // To a host that the table lists. `on_timeout` is called if the connection is still there but not up after
  // the connect timeout.
  OpenResult Open(ReplicaId host, Handle request, std::function<void(Handle)> on_timeout);
  // The idle connection of this host that was used last, no longer in the pool; 0: none that may be used.
  Handle TakeIdle(ReplicaId host);
  // Its response is complete: the connection goes to the pool, and is closed some time before the host would.
  void Return(Handle connection);
  void Close(Handle connection);  // in whatever state; a closed one is passed over
  void CloseIdle(ReplicaId host);
  void CloseAll();

  // Idle connections over the limit are closed as others are opened.
  void SetMaxConnections(std::size_t max_connections) { max_connections_ = max_connections; }
  std::size_t size() const { return connections_.size(); }

 private:
  bool EvictIdleConnection();

  Core* core_;
  const UpstreamHostTable* hosts_;
  TcpOwner* owner_;
  std::size_t max_connections_;
  SlotTable<UpstreamConnection> connections_;
  std::map<ReplicaId, std::vector<Handle>> idle_;  // by host, the one used last at the end
};

}  // namespace ryeglade
