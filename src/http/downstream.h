// Downstream: the clients' connections at one address. It speaks HTTP/1.1, one request at a time on a
// connection, bounds how many there are and how long they may take, and knows nothing of what the requests
// mean: a Front does.
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
#include "http/arrival_log.h"
#include "http/close_reason.h"
#include "http/request_parser.h"

namespace ryeglade {

// What requests mean: one protocol over HTTP. Called on the loop.
class Front {
 public:
  virtual ~Front() = default;
  virtual void OnRequest(Handle connection, HttpRequest request) = 0;
  virtual void OnClientDisconnected(Handle connection) = 0;  // while a response was owed
  // What HTTP itself found wrong is answered without asking; the front may give that response its own form.
  virtual void FormatError(int /*status*/, std::string& /*headers*/, std::string& /*body*/) {}
  // The client leaves unread what it is sent, or reads again.
  virtual void OnBackpressure(Handle connection, bool congested) = 0;
};

// Owns the connections and the listener.
class Downstream : public TcpOwner {
 public:
  // Fixed for the life of a Downstream, but for the number of connections.
  struct Options {
    std::string listen;  // ip:port; port 0: the kernel chooses
    // SO_REUSEPORT, so that a new process can listen beside this one during a hot restart.
    bool share_port = false;
    // A tenth of these is for clients that get an answer and no service.
    std::size_t max_connections = 0;
    std::size_t max_body = std::size_t{256} * 1024;  // bytes
    // For a complete request, from its first byte or the connection's start.
    Time request_timeout = 2'700'000;
    // Whether to serve a client at this address at all; absent: any.
    std::function<bool(const sockaddr_storage&)> admits;
  };
  // Neither `runtime` nor `front` is owned.
  Downstream(const Runtime* runtime, Front* front, Options options);

  std::string Listen();  // the address in use; throws std::runtime_error
  void CheckListen() const { Listener::Check(options_.listen, options_.share_port); }  // throws the same

  // The response to the current request, complete or in chunks. For a connection that is gone, or to which
  // nothing is owed, these do nothing.
  void Reply(Handle connection, int status, const std::string& headers, std::string_view body);
  void BeginChunks(Handle connection, const std::string& headers);
  void Chunk(Handle connection, std::string_view bytes);
  void EndChunks(Handle connection);
  void Abort(Handle connection);                     // closes the connection at once, without the last chunk
  void EndTruncated(Handle connection);              // the same, once all that was written has gone out
  void CloseAfterResponse(Handle connection);        // no further request is taken on it
  sockaddr_storage PeerOf(Handle connection) const;  // all zero: not known
  // False: the client has closed it, whether or not that has been read yet.
  bool Connected(Handle connection) const;

  // Another process takes clients at this address from here on: what waits in the kernel is taken still, then
  // the listener closes, and connections are closed as they become idle.
  void HandOver();
  void Resume();  // after HandOver: listens again; throws std::runtime_error
  void SetMaxConnections(std::size_t max_connections);

  // Graceful shutdown, in steps.
  void Drain();          // from here on every response closes its connection
  void StopAccepting();  // no new connection is taken; those that the kernel has accepted are
  void CloseIdle();      // connections on which nothing is owed and nothing has begun
  void EndIncomplete();  // a request that has begun to come and is not complete gets a 503
  // Nothing is owed to any client, and every last response has been out for at least `quiet` microseconds.
  bool Settled(Time quiet) const;
  void Close();  // all, and the listener
  bool draining() const { return draining_; }
  std::size_t size() const { return clients_.size(); }
  const CloseCounts& closed() const { return closed_; }  // connections closed so far, by reason

  // From the sockets.
  void OnRead(Handle connection, std::string_view bytes) override;
  void OnDisconnected(Handle connection) override;
  void OnDrained(Handle connection) override;

 private:
  // Where a connection is between two requests.
  enum class State : std::uint8_t {
    kIdle,        // between requests
    kReading,     // a request has begun to come
    kResponding,  // a response is owed, or under way
    kLingering,   // the last response is written; the client has not closed yet
  };

  // One connection.
  struct Client {
    Client(BufferPool* pool, std::size_t max_body) : parser(pool, max_body) {}
    Tcp* tcp = nullptr;
    State state = State::kIdle;
    RequestParser parser;
    std::string unparsed;  // read and not parsed yet; behind the current request
    ArrivalLog arrivals;   // of the bytes of `unparsed`
    bool parsing = false;  // guards against parsing within parsing
    bool keep_alive = true;
    bool used = false;       // a complete request has come
    bool excess = false;     // over the bound of connections: gets an answer, no service
    bool congested = false;  // the front was told to stop
    Time idle_since = 0;     // or when it last made progress
    CloseReason close_reason = CloseReason::kResponseSent;  // of a lingering connection
    DeadlineId deadline;
  };

  // How soon a connection may be closed for another: the lowest first, by the longest wait.
  struct EvictionRank {
    int group = 3;  // 3: it is needed
    Time since = 0;
    auto operator<=>(const EvictionRank&) const = default;
  };

  // Connections and their bound.
  void AddClient(int fd);
  bool HasCapacity() const { return clients_.size() < max_served_ + max_excess_; }
  bool EvictConnection();
  Handle EvictionCandidate() const;
  static EvictionRank RankForEviction(const Client& client);
  static bool IsIdle(const Client& client);
  void SweepIdle();
  void CloseInOrder(Handle connection, CloseReason reason);
  void CloseConnection(Handle connection, CloseReason reason);
  void LoseClient(Handle connection, CloseReason reason);
  void WatchForEndWhilePaused(Handle connection);
  void WatchForEndWhileClosing(Handle connection);
  // Requests.
  void SetRequestDeadline(Handle connection, Time at);
  void OnRequestTimeout(Handle connection);
  void ParseInput(Handle connection);
  void ParseRequest(Handle connection, Client& c);
  void OnRequestComplete(Handle connection, Client& c);
  void RejectIncomplete(Handle connection, int status, const char* reason);
  // Responses.
  void ReplyError(Handle connection, int status);
  void OnWritten(Handle connection, bool written);
  void OnResponseComplete(Handle connection);
  void SetLingerDeadline(Handle connection);

  const Runtime* runtime_;
  Front* front_;
  Options options_;
  std::size_t max_served_;
  std::size_t max_excess_;  // beyond those: for clients that get an answer and no service
  Acceptor acceptor_;
  bool draining_ = false;
  bool handed_over_ = false;
  CloseCounts closed_{};
  SlotTable<Client> clients_;
};

}  // namespace ryeglade
