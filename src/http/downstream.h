// Downstream: the client connections at one listening address. It serves HTTP/1.1, one request at a time per
// connection, and bounds the number of connections and their duration. A Front interprets the requests.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"
#include "http/acceptor.h"
#include "http/client_input.h"
#include "http/close_reason.h"
#include "http/request_parser.h"

namespace ryeglade {

// Implements one protocol over HTTP. All functions are called on the loop.
class Front {
 public:
  virtual ~Front() = default;
  virtual void OnRequest(Handle connection, HttpRequest request) = 0;
  virtual void OnClientDisconnected(Handle connection) = 0;  // called only while a response is due
  // Downstream itself sends the responses to HTTP-level errors; the front may set their headers and body
  // here.
  virtual void FormatError(int /*status*/, std::string& /*headers*/, std::string& /*body*/) {}
  // `congested` is true when the client does not read what it is sent, false when it reads again.
  virtual void OnBackpressure(Handle connection, bool congested) = 0;
};

// Owns the connections and the listener.
class Downstream : public TcpOwner {
 public:
  // Fixed for the lifetime of the object, except for the maximum number of connections.
  struct Options {
    std::string listen;  // ip:port; with port 0 the kernel chooses the port
    // SO_REUSEPORT, so that a new process can listen beside this one during a hot restart.
    bool share_port = false;
    // A tenth of these is reserved for excess clients, which get only an error response.
    std::size_t max_connections = 0;
    std::size_t max_body = std::size_t{256} * 1024;  // bytes
    // How long a client may take to send a complete request, in microseconds: the first request from the
    // connection's start, later ones from their first byte.
    Time request_timeout = 2'700'000;
    // Returns whether a client at this address is served. If it is empty, all are.
    std::function<bool(const sockaddr_storage&)> admits;
  };
  // Neither `runtime` nor `front` is owned.
  Downstream(const Runtime* runtime, Front* front, Options options);

  std::string Listen();  // returns the address in use; throws std::runtime_error
  // Throws std::runtime_error if Listen would fail.
  void CheckListen() const { Listener::Check(options_.listen, options_.share_port); }

  // These functions send the response to the current request, complete or in chunks. They do nothing if the
  // connection is closed or no response is due.
  void Reply(Handle connection, int status, const std::string& headers, std::string_view body);
  void BeginChunks(Handle connection, const std::string& headers);
  void Chunk(Handle connection, std::string_view bytes);
  void EndChunks(Handle connection);
  void Abort(Handle connection);         // closes the connection at once, without the last chunk
  void EndTruncated(Handle connection);  // the same, after everything that was written has been sent
  // Makes the current response the connection's last one.
  void CloseAfterResponse(Handle connection);
  sockaddr_storage PeerOf(Handle connection) const;  // all zero if unknown
  // Returns false if the client has closed the connection, even if that has not been read yet.
  bool Connected(Handle connection) const;
  // Returns whether bytes of the client have waited unread for a while, so that its closing the connection
  // could not be seen.
  bool MayHaveClosedUnseen(Handle connection) const;

  // Hot restart: another process accepts clients at this address from now on. Accepts the connections that
  // are already established, closes the listener, and closes connections as they become idle.
  void HandOver();
  void Resume();  // reverts HandOver: listens again; throws std::runtime_error
  void SetMaxConnections(std::size_t max_connections);

  // Graceful shutdown, in steps.
  void Drain();          // from now on connections are closed after their response
  void StopAccepting();  // accepts only connections that are already being opened, then stops listening
  void CloseIdle();      // closes connections without a pending request or response
  void EndIncomplete();  // answers requests that have been received only in part with a 503
  // Returns whether the listener is closed, no response is due, and every connection's last response was sent
  // at least `quiet` microseconds ago.
  bool Settled(Time quiet) const;
  void Close();  // closes all connections and the listener
  bool draining() const { return draining_; }
  std::size_t size() const { return clients_.size(); }
  const CloseCounts& closed() const { return closed_; }  // number of connections closed so far, by reason

  // TcpOwner:
  void OnRead(Handle connection, std::string_view bytes) override;
  void OnDisconnected(Handle connection) override;
  void OnDrained(Handle connection) override;
  std::size_t ReadSize(Handle connection) const override;

 private:
  enum class State : std::uint8_t {
    kIdle,        // between requests
    kReading,     // part of a request has been received
    kResponding,  // a response is due or being sent
    kLingering,   // the last response is written; the client has not closed the connection yet
  };

  // One connection.
  struct Client {
    Client(BufferPool* pool, std::size_t max_body) : parser(pool, max_body), input(pool) {}
    Tcp* tcp = nullptr;
    State state = State::kIdle;
    RequestParser parser;
    ClientInput input;     // follows the current request
    bool parsing = false;  // ParseInput is running; prevents recursion
    bool paused = false;   // nothing is read from the socket, because the input is full or waits to be parsed
    Time paused_at = 0;
    // The client has pipelined more than is read ahead. Until it pauses, its requests are refused.
    bool overrun = false;
    DeadlineId end_check;    // while paused: of the next check whether the client has closed the connection
    bool keep_alive = true;  // whether the connection stays open after the current response
    bool used = false;       // a complete request has been received
    bool excess = false;     // accepted above the number of served connections: gets only an error response
    bool congested = false;  // the front was told to stop sending
    Time idle_since = 0;     // when the connection was opened, last sent a response or had input waiting
    Time last_read_at = 0;   // when bytes were last read
    CloseReason close_reason = CloseReason::kResponseSent;  // used while the connection lingers
    DeadlineId deadline;                                    // of the current state
  };

  // The order in which connections may be closed in favor of new ones: lowest first.
  struct EvictionRank {
    int group = 4;   // 0 to 3; 4 if the connection must not be closed
    Time since = 0;  // within a group the connection that has waited longest comes first
    auto operator<=>(const EvictionRank&) const = default;
  };

  // Connections and their limit.
  void AddClient(int fd);
  bool HasCapacity() const { return clients_.size() < max_served_ + max_excess_; }
  // `silent_for`: how long a connection must not have sent a byte, from its start on, to be evicted.
  bool EvictConnection(Time silent_for);
  Handle EvictionCandidate(Time silent_for) const;
  static EvictionRank RankForEviction(const Client& client, Time silent_for);
  static bool IsIdle(const Client& client);
  void SweepIdle();
  void CloseGracefully(Handle connection, CloseReason reason);
  void CloseConnection(Handle connection, CloseReason reason);
  void CloseAndNotifyFront(Handle connection, CloseReason reason);
  void PauseReading(Handle connection);
  void PauseOverrun(Handle connection);
  void ResumeReading(Client& client);
  void WatchForEndWhilePaused(Handle connection);
  void WatchForEndWhileClosing(Handle connection);
  // Requests.
  void SetRequestDeadline(Handle connection, Time at);
  void OnRequestTimeout(Handle connection);
  void ParseInput(Handle connection);
  bool OutputFull(const Client& client) const;
  void AwaitDrain(Handle connection);
  void ParseLater(Handle connection);
  void ParseRequest(Handle connection, Client& client);
  void OnRequestComplete(Handle connection, Client& client);
  void RejectComplete(Handle connection, const char* reason);
  void RejectIncomplete(Handle connection, int status, const char* reason);
  bool ReclaimMemory();
  // Responses.
  void ReplyError(Handle connection, int status);
  void OnWritten(Handle connection, bool written);
  void OnResponseComplete(Handle connection);
  void SetLingerDeadline(Handle connection);

  const Runtime* runtime_;
  Front* front_;
  Options options_;
  std::size_t max_served_;  // connections whose requests are passed to the front
  std::size_t max_excess_;  // further connections, which get only an error response
  Acceptor acceptor_;
  bool draining_ = false;
  bool handed_over_ = false;
  CloseCounts closed_{};
  SlotTable<Client> clients_;
};

}  // namespace ryeglade
