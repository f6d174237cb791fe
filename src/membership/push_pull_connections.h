// The connections over which nodes exchange all their records: one message in each direction, prefixed with
// its length in four bytes, little-endian. The initiator sends first; the other side answers and closes.
#pragma once

#include <sys/socket.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"
#include "limits/networks.h"

namespace ryeglade::membership {

// Runs at most kMaxIncoming and kMaxOutgoing exchanges at once. An exchange that exceeds its timeout is
// closed.
class PushPullConnections : public TcpOwner {
 public:
  static constexpr std::size_t kMaxIncoming = 8;
  static constexpr std::size_t kMaxOutgoing = 4;
  static constexpr std::size_t kSockets = kMaxIncoming + kMaxOutgoing;

  // Builds and reads the messages. Must not destroy the PushPullConnections object during a call.
  class Owner {
   public:
    virtual std::string PushPullBytes() = 0;  // this node's message
    // Handles the other side's message; `initiated` says whether this node began the exchange. Returns false
    // if the message was rejected and counted as dropped.
    virtual bool OnPushPullBytes(std::string_view bytes, bool initiated) = 0;
    virtual void CountDropped(const char* why) = 0;

   protected:
    ~Owner() = default;
  };

  // The pointers are not owned. Connections from outside `networks` are rejected. `timeout` is the limit for
  // a whole exchange, in microseconds.
  PushPullConnections(const Runtime* runtime, const limits::Networks* networks, Time timeout, Owner* owner)
      : runtime_(runtime), networks_(networks), timeout_(timeout), owner_(owner) {}

  // Begins an exchange with `to` from the local address `from`, unless kMaxOutgoing are in progress.
  void Start(const sockaddr_storage& from, const sockaddr_storage& to);
  // Accepts a pending connection of `listener`. One beyond kMaxIncoming or from outside the networks is
  // closed.
  void Accept(uv_stream_t* listener);
  void CloseAll();

  std::uint64_t completed() const { return completed_; }
  std::uint64_t failed() const { return failed_; }

  void OnConnected(Handle handle, int status) override;
  void OnRead(Handle handle, std::string_view bytes) override;
  void OnDisconnected(Handle handle) override;
  void OnDrained(Handle handle) override;

 private:
  struct Exchange {
    Tcp* tcp = nullptr;
    bool initiated = false;  // by this node
    bool answered = false;   // this node has received a message and written its answer
    std::string received;    // length and message, as far as they have arrived
    DeadlineId deadline{};
  };
  void SetDeadline(Handle handle, Exchange* exchange);
  bool WriteMessage(Exchange* exchange);
  void Reject(Handle handle, const char* why);
  void End(Handle handle, bool completed);

  const Runtime* runtime_;
  const limits::Networks* networks_;
  Time timeout_;
  Owner* owner_;
  SlotTable<Exchange> exchanges_;
  std::size_t incoming_ = 0;
  std::size_t outgoing_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace ryeglade::membership
