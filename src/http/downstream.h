// Downstream: the listener and the clients' connections. It speaks HTTP/1.1, one request at a time on a
// connection, and knows nothing of what the requests mean: a Front does.
#pragma once

#include <http_parser.h>

#include <functional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/listener.h"
#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"
#include "http/arrival_log.h"
#include "http/close_reason.h"

namespace ryeglade {

struct HttpRequest {
  explicit HttpRequest(BufferPool* pool) : body(pool) {}
  std::string method, target;
  std::vector<std::pair<std::string, std::string>> headers;
  BufferChain body;
  Time first_byte = 0;
  bool http11 = true;

  std::string_view Path() const { return std::string_view(target).substr(0, target.find('?')); }
  const std::string* Header(std::string_view name) const;  // whatever its case; null: absent
};

class Front {
 public:
  virtual ~Front() = default;
  virtual void OnRequest(Handle connection, HttpRequest request) = 0;
  virtual void OnGone(Handle connection) = 0;  // the client left while an answer was owed
  // What HTTP itself found wrong is answered without asking; the front may give that answer its own shape.
  virtual void Dress(int /*status*/, std::string& /*headers*/, std::string& /*body*/) {}
  virtual void OnFlow(Handle connection, bool congested) = 0;  // the client does not drain, or does again
};

class Downstream : public TcpOwner {
 public:
  struct Options {
    std::string listen;  // ip:port; port 0: the kernel chooses
    // SO_REUSEPORT, so that a new process can listen beside this one during a hot restart.
    bool share_port = false;
    std::size_t most_sockets = 0;
    std::size_t most_body = std::size_t{256} * 1024;  // bytes
    Time read_within = 2'700'000;  // a whole request, from its first byte or the connection's start
    // Says whether to go on with a client at all; absent: with all.
    std::function<bool(const sockaddr_storage&)> admits;
  };
  Downstream(const Runtime* run, Front* front, Options options);

  std::string Listen();  // the address in use; throws std::runtime_error
  void CheckListen() const { Listener::Check(options_.listen, options_.share_port); }  // throws the same
  // Answers of the request at hand, one whole or one in chunks.
  void Reply(Handle connection, int status, const std::string& headers, std::string_view body);
  void BeginChunks(Handle connection, const std::string& headers);
  void Chunk(Handle connection, std::string_view bytes);
  void EndChunks(Handle connection);
  sockaddr_storage PeerOf(Handle connection);  // all zero: not known
  // False: the client has closed it, whether or not that has been read yet.
  bool Connected(Handle connection) const;
  void CloseAfter(Handle connection);  // no further request is taken on it
  void Abort(Handle connection);       // ends the connection without the last chunk
  void EndBroken(Handle connection);   // the same, once all that was written has gone out

  // Another process takes clients at this address from here on: what waits in the kernel is taken still, then
  // the listener closes, and connections go as they become idle.
  void Yield();
  void TakeUp();  // listens again; throws std::runtime_error
  void Limit(std::size_t most_sockets);
  void Drain();          // from here on every answer closes its connection
  void StopAccepting();  // no new connection is taken; those that the kernel has accepted are
  void CloseIdle();      // connections on which nothing is owed and nothing has begun
  void EndUnfinished();  // a request that has begun to come and is not whole gets a 503
  // Nothing is owed to any client, and every last answer has been out for at least `quiet` microseconds.
  bool Settled(Time quiet) const;
  void Close();  // all, and the listener
  bool draining() const { return draining_; }
  std::size_t size() const { return clients_.size(); }
  const CloseCounts& closed() const { return closed_; }  // connections closed so far, by reason

  void OnRead(Handle connection, std::string_view bytes) override;
  void OnEnded(Handle connection) override;
  void OnDrained(Handle connection) override;

 private:
  enum class State : unsigned char { kIdle, kReading, kAnswering, kLingering };

  struct Client {
    Client(BufferPool* pool, std::size_t body) : request(pool), most_body(body) {}
    Tcp* tcp = nullptr;
    http_parser parser{};
    State state = State::kIdle;
    HttpRequest request;
    std::size_t most_body;
    bool value_next = false;
    int reject = 0;  // the status that the parser's callbacks ended the request with
    bool complete = false;
    bool keep_alive = true;
    bool used = false;     // a whole request has come
    bool surplus = false;  // over the budget of sockets: gets an answer, no service
    bool congested = false;
    bool feeding = false;
    std::string ahead;    // read behind the request at hand
    ArrivalLog arrivals;  // of the bytes of `ahead`
    Time idle_since = 0;
    CloseReason ends_as = CloseReason::kAnswered;  // of a lingering connection
    DeadlineId deadline;
  };

  void Accept();
  bool AcceptOne();
  void AcceptLater(const char* why);
  void Add(int fd);
  void WatchPaused(Handle connection);
  void WatchUnread(Handle connection);
  void CloseInOrder(Handle connection, CloseReason why);
  void SweepIdle();
  void StopListening();
  void CloseListener();
  void TakeWaiting();
  bool MakeRoom();
  Handle LeastNeeded() const;
  void Feed(Handle connection);
  void Expire(Handle connection, Time at);
  static bool Idle(const Client& client);
  void Error(Handle connection, int status);
  void Unfinished(Handle connection, int status, const char* why);
  void Done(Handle connection);
  void Linger(Handle connection);
  void Drop(Handle connection, CloseReason why);
  void Lost(Handle connection, CloseReason why);
  void Sent(Handle connection, bool written);
  static const http_parser_settings& Callbacks();

  const Runtime* core_;
  Front* front_;
  Options options_;
  std::size_t most_, surplus_;
  Listener listener_;
  bool waiting_ = false;  // connections wait to be accepted, for want of room or of what the system lacks
  bool draining_ = false;
  Time stopping_ = 0;  // since when no new connection comes up; 0: they do, or the listener is closed
  bool yielded_ = false;
  CloseCounts closed_{};
  SlotTable<Client> clients_;
};

}  // namespace ryeglade
