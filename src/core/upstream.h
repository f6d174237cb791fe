// Upstream requests. Each is one attempt of a stream at one upstream host, or one health check. There are no
// retries here: the decision module decides what happens after an outcome.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/connection_pool.h"
#include "core/core.h"
#include "core/upstream_host_table.h"

namespace ryeglade {

using policy::Outcome;

// All requests to upstream hosts that are in flight. Posts exactly one outcome for each.
class Upstream : public TcpOwner, public AttemptPort, public UpstreamRequestPort, public UpstreamHostPort {
 public:
  // `core` is not owned; its other members may be set later.
  Upstream(Core* core, std::size_t max_connections)
      : core_(core), connections_(core, &hosts_, this, max_connections) {}

  // Called by EndpointTable. When an address changes, only connections on which a request is written are
  // kept.
  void SetHost(ReplicaId id, const std::string& host_port) override;
  void RemoveHost(ReplicaId id) override;
  void CloseIdle(ReplicaId id) override { connections_.CloseIdle(id); }
  void DropUnsent(ReplicaId id) override;
  std::string AddressOf(ReplicaId id) const override { return hosts_.AddressOf(id); }

  // Called by Decisions.
  void Send(Handle stream, ReplicaId to, Time timeout, Time write_within) override;
  void CancelAttempt(Handle stream, int attempt) override;
  void CheckHealth(ReplicaId to) override;

  // Called by Streams.
  void Cancel(Handle request) override;
  void SetPaused(Handle request, bool paused) override;
  void ShortenDeadline(Handle request, Time at) override;
  void Abort(Handle request) override;

  void Close() { connections_.CloseAll(); }
  void SetMaxConnections(std::size_t max_connections) { connections_.SetMaxConnections(max_connections); }
  std::size_t size() const { return connections_.size(); }  // number of connections, in use and idle

  // Called by the sockets.
  void OnConnected(Handle connection, int status) override;
  void OnRead(Handle connection, std::string_view bytes) override;
  void OnDisconnected(Handle connection) override;

 private:
  // One attempt or health check, from the decision to send to its outcome.
  struct Request {
    Handle stream = 0;  // 0 for a health check
    int attempt = 0;    // number of the attempt within its stream, from 0
    ReplicaId replica = 0;
    Time sent_at = 0;            // when the request was started; it is written once it has a connection
    Time last_byte_at = 0;       // when bytes that count as progress last arrived
    Time response_deadline = 0;  // by when the response must have started
    Time write_deadline = 0;     // the request is not written after this time; 0 if there is no such limit
    Handle connection = 0;       // 0 while there is none
    bool started = false;        // a complete event has arrived and was passed on
    bool paused = false;         // reading is paused because the client does not read
    DeadlineId deadline;

    bool is_health_check() const { return stream == 0; }
  };

  void StartRequest(Request request, Time response_deadline);
  void Connect(Handle request);
  void Reconnect(ReplicaId id);
  void ConnectLater(Handle request, int error);
  void OnConnectTimeout(Handle connection);
  bool CheckMayWrite(Handle request);
  void WriteRequest(Handle connection);
  bool request_written(const Request& request) const;  // completely passed to the socket
  void SetDeadline(Handle request, Time at);

  bool ReadBody(const Request& request, ResponseParser& response, const std::vector<std::string_view>& body,
                bool* progress) const;
  void AwaitFirstEvent(Handle request, UpstreamConnection& connection,
                       const std::vector<std::string_view>& body);
  static bool ReserveResponse(UpstreamConnection& connection);
  void StartStream(Handle request, UpstreamConnection& connection);
  void ForwardBody(Handle request, const std::vector<std::string_view>& body, bool progress);
  static bool EndsIncomplete(const Request& request, const ResponseParser& response);
  void OnResponseComplete(Handle request, ResponseParser& response);
  void CheckIdle(Handle request);

  void OnConnectionLost(Handle connection);
  void EndInvalidRequest(Handle request);
  void Finish(Handle request, Outcome outcome);
  StreamEnd CountStreamEnd(const Request& request) const;
  void LogFailedAttempt(const Request& request, Outcome outcome, StreamEnd end, Time elapsed) const;

  Core* core_;
  UpstreamHostTable hosts_;
  ConnectionPool connections_;
  SlotTable<Request> requests_;
  // True while an attempt is ended because its request is invalid; this concludes the request too.
  bool request_is_invalid_ = false;
};

}  // namespace ryeglade
