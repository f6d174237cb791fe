// Upstream hosts, the pool of connections to each, and upstream requests: one attempt of a stream, or a
// probe. Nothing is ever sent again here; what becomes of a stream after an outcome is the module's to
// decide.
#pragma once

#include <http_parser.h>

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "base/slot_table.h"
#include "base/tcp.h"
#include "core/core.h"

namespace ryeglade {

using policy::Outcome;

class Upstream : public TcpOwner, public AttemptPort, public UpstreamRequestPort, public UpstreamHostPort {
 public:
  Upstream(Core* core, std::size_t most_sockets) : core_(core), most_sockets_(most_sockets) {}

  // From discovery. A changed address leaves busy connections alone and drops the idle ones.
  void SetHost(ReplicaId id, const std::string& host_port) override;
  void RemoveHost(ReplicaId id) override;
  void DropUnsent(ReplicaId id) override;

  // From the decisions.
  void Send(Handle stream, ReplicaId to, Time timeout, Time write_within) override;
  void CancelAttempt(Handle stream, int attempt) override;
  void CheckHealth(ReplicaId to) override;

  // From the streams.
  void Cancel(Handle request) override;
  void SetPaused(Handle request, bool pause) override;
  void ShortenDeadline(Handle request, Time at) override;
  void Abort(Handle request) override;

  void Close();
  void Limit(std::size_t most_sockets) {
    most_sockets_ = most_sockets;
  }  // idle ones over it go as others come
  std::size_t size() const { return connections_.size(); }
  std::string AddressOf(ReplicaId id) const override;

  void OnConnected(Handle connection, int status) override;
  void OnRead(Handle connection, std::string_view bytes) override;
  void OnEnded(Handle connection) override;

 private:
  struct Host {
    std::string host_port;
    sockaddr_storage address{};
    std::vector<Handle> idle;  // the one used last at the end
  };

  struct Response {
    int status = 0;
    bool framed = false;  // its end can be told from a break
    bool complete = false;
    bool keep = false;
    bool value_next = false;
    std::string field, value;
    std::vector<std::string_view> pieces;  // of the body, within the read at hand
    const char* read_end = nullptr;        // of the read at hand
    std::uint64_t chunk_left = 0;          // of the chunk at hand, still to come
    std::string_view line_end;             // what must come before the next chunk
    std::string opening;                   // what came before there was a whole event
    const Dialect* dialect = nullptr;
    std::unique_ptr<ResponseReader> reader;  // of the answer at hand
  };

  struct Connection {
    ReplicaId host = 0;
    Tcp* tcp = nullptr;
    http_parser parser{};
    Response response;
    bool connected = false;
    bool written = false;  // the whole request was handed to the socket
    Time idle_since = 0;
    Time first_byte = 0;  // of the answer at hand; 0: none yet
    DeadlineId deadline;  // to be up, or idle no longer
    Handle request = 0;
  };

  struct Request {
    Handle stream = 0;  // 0: a probe
    int attempt = 0;
    ReplicaId replica = 0;
    Time sent_at = 0;
    Time last_byte = 0;
    Time until = 0;     // when the wait for an answer ends
    Time write_by = 0;  // not written later than this; 0: any time
    Handle connection = 0;
    bool started = false;
    bool paused = false;
    DeadlineId deadline;
  };

  void Begin(Request request, Time deadline);
  // A connection that is being opened, or why it can't be, as an errno value.
  struct Connecting {
    Handle connection = 0;
    int error = 0;
  };
  Connecting Connect(ReplicaId to, Handle request);
  void OpenConnection(Handle request);
  void RetryConnection(Handle request, int error);
  bool MakeRoom();
  void Write(Handle connection);
  void Silence(Handle request);
  void Finish(Handle request, Outcome outcome);
  void Reject(Handle request);
  void Broke(Handle connection);
  bool Written(const Request& request) const;
  bool MayWrite(Handle request);
  void Expect(Handle request, Time by);
  Handle TakeIdle(Host& host);
  void Park(Handle connection);
  void Drop(Handle connection);
  std::vector<double> Load(const std::string& report) const;

  static const http_parser_settings& Callbacks();

  Core* core_;
  std::size_t most_sockets_;
  bool rejecting_ = false;  // the attempt that ends now ends its request too
  std::map<ReplicaId, Host> hosts_;
  SlotTable<Connection> connections_;
  SlotTable<Request> requests_;
};

}  // namespace ryeglade
