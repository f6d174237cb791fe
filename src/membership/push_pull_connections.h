// The connections over which nodes exchange all their records: one message each way, each with its length
// ahead in four bytes, little-endian. The initiator sends first; the other side answers and closes.
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

// Bounded by kMaxIn and kMaxOut; an exchange that does not end in time is closed.
class PushPullConnections : public TcpOwner {
 public:
  static constexpr std::size_t kMaxIn = 8;
  static constexpr std::size_t kMaxOut = 4;
  static constexpr std::size_t kSockets = kMaxIn + kMaxOut;

  // What makes the messages and reads them. Must not destroy the connections in a call.
  class Owner {
   public:
    virtual std::string PushPullBytes() = 0;  // this node's message
    // `initiated`: the exchange was, by this node. False: the message was rejected, and counted as dropped.
    virtual bool OnPushPullBytes(std::string_view bytes, bool initiated) = 0;
    virtual void CountDropped(const char* why) = 0;

   protected:
    ~Owner() = default;
  };

  // Nothing is owned. `networks`: where others may come from. `timeout`: microseconds for a whole exchange.
  PushPullConnections(const Runtime* runtime, const limits::Networks* networks, Time timeout, Owner* owner)
      : runtime_(runtime), networks_(networks), timeout_(timeout), owner_(owner) {}

  // Begins an exchange, unless kMaxOut are under way.
  void Start(const sockaddr_storage& from, const sockaddr_storage& to);
  // Accepts a connection that waits at `listener`.
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
    bool answered = false;
    std::string received;
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
  std::size_t in_ = 0;
  std::size_t out_ = 0;
  std::uint64_t completed_ = 0;
  std::uint64_t failed_ = 0;
};

}  // namespace ryeglade::membership
