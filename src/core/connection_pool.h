// Pool of connections to upstream hosts. A connection is opened for a request, returned to the pool once the
// response is complete, and reused. The pool owns the sockets; their events go to `owner`, which is given the
// connection's handle.
#pragma once

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
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
  ResponseParser response;    // parses the response to the current request
  std::string buffered_body;  // body bytes that are not passed on until the first event is complete
  std::optional<MemoryReservation> response_memory;  // for what is held of the response
  bool connected = false;                            // the TCP connection is established
  bool request_written = false;                      // the complete request has been passed to the socket
  Time idle_since = 0;                               // when it was returned to the pool
  Time first_byte_at = 0;  // when the first byte of the current response arrived; 0 before that
  DeadlineId deadline;  // while connecting: the connect timeout; in the pool: when the connection is closed
  Handle request = 0;   // handle of the request that uses the connection; 0 if it is idle in the pool
};

// Not thread-safe; all callbacks run on the event loop.
class ConnectionPool {
 public:
  // The pointers are not owned. `max_connections` limits the connections in use and idle together.
  ConnectionPool(Core* core, const UpstreamHostTable* hosts, TcpOwner* owner, std::size_t max_connections)
      : core_(core), hosts_(hosts), owner_(owner), max_connections_(max_connections) {}

  // Returns nullptr if the connection has been closed.
  UpstreamConnection* Find(Handle connection) { return connections_.Get(connection); }
  const UpstreamConnection* Find(Handle connection) const { return connections_.Get(connection); }

  // Result of Open: the handle of the connection that is being opened, or an errno value.
  struct OpenResult {
    Handle connection = 0;
    int error = 0;
  };
  // Opens a connection to a host, which must be in the host table. `on_timeout` is called if the connection
  // still exists but is not established after the connect timeout.
  OpenResult Open(ReplicaId host, Handle request, std::function<void(Handle)> on_timeout);
  // Takes the most recently used idle connection to this host out of the pool. Returns 0 if none can be used.
  Handle TakeIdle(ReplicaId host);
  // Puts a connection whose response is complete back into the pool, where it is closed shortly before the
  // host would close it.
  void Return(Handle connection);
  void Close(Handle connection);  // in any state; does nothing if it is closed already
  void CloseIdle(ReplicaId host);
  void CloseAll();

  // If the limit is lowered, surplus idle connections are closed only as others are opened.
  void SetMaxConnections(std::size_t max_connections) { max_connections_ = max_connections; }
  std::size_t size() const { return connections_.size(); }

 private:
  bool EvictIdleConnection();

  Core* core_;
  const UpstreamHostTable* hosts_;
  TcpOwner* owner_;
  std::size_t max_connections_;
  SlotTable<UpstreamConnection> connections_;
  std::map<ReplicaId, std::vector<Handle>> idle_;  // by host; the most recently used connection is last
};

}  // namespace ryeglade
