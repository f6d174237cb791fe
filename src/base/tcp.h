// One TCP socket on the loop, on the client or the server side. It notifies its owner of events and passes
// the handle that the owner gave it; there are no notifications after Close.
#pragma once

#include <uv.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/buffer_pool.h"
#include "base/slot_table.h"

namespace ryeglade {

// Events of a socket. `handle` is the one that the owner gave to the socket. All functions are called on the
// loop.
class TcpOwner {
 public:
  virtual ~TcpOwner() = default;
  virtual void OnConnected(Handle, int /*status*/) {}  // status: 0, or a libuv error code
  virtual void OnRead(Handle handle, std::string_view bytes) = 0;
  virtual void OnDisconnected(Handle handle) = 0;  // the peer closed the connection, or it broke
  virtual void OnDrained(Handle) {}                // the kernel has taken everything that was queued
  // Returns how many bytes the next read may have at most; not 0. An owner that keeps what it reads bounds it
  // here.
  virtual std::size_t ReadSize(Handle) const { return kMaxReadSize; }
  static constexpr std::size_t kMaxReadSize = std::size_t{64} * 1024;  // bytes
};

// Returns the size of an address in bytes, according to its family: IPv6 if AF_INET6, otherwise IPv4.
socklen_t SockaddrLength(const sockaddr* address);
// Parses "ip:port" (IPv4) or "[ip]:port" (IPv6). Returns false if the text is neither.
bool ParseAddress(const std::string& text, sockaddr_storage* address);

// Created by New; must not be used after Close, which leads to its deletion.
class Tcp {
 public:
  // The pool and the owner must outlive the socket. `handle` is passed to the owner with every event.
  static Tcp* New(uv_loop_t* loop, BufferPool* pool, TcpOwner* owner, Handle handle);
  // Accepts a waiting connection of a listening libuv stream. Returns false on failure.
  bool Accept(uv_stream_t* listener);
  // Takes over the descriptor of an accepted connection. Returns false, and closes it, on failure.
  bool Open(int fd);
  // Sets the local address; to be called before Connect. Returns 0 or a libuv error code.
  int Bind(const sockaddr_storage& from);
  // Returns a libuv error code, or 0 if OnConnected will be called with the result.
  int Connect(const sockaddr_storage& address);
  void StartReading();
  void StopReading() { uv_read_stop(stream()); }
  // Writes at once what the kernel takes and queues the rest. Returns false if the connection is broken or
  // the buffer pool is exhausted; the owner should then close the connection. All later writes fail too, as
  // bytes are missing before theirs.
  bool Write(std::string_view bytes) { return Write({bytes}); }
  bool Write(std::initializer_list<std::string_view> parts);
  // Number of bytes that the kernel has not taken yet. libuv's queue size is used because `sending_` can
  // still contain bytes that have reached the peer: libuv reports a write as done only in a later loop
  // iteration.
  std::size_t unsent() const { return uv_stream_get_write_queue_size(stream()) + queued_.size(); }
  sockaddr_storage PeerAddress() const;     // all zero if unknown
  sockaddr_storage LocalAddress() const;    // all zero if unknown
  void ResetOnClose();                      // makes Close send a reset and drop unsent bytes
  bool Delivered() const;                   // the peer's machine has acknowledged everything that was written
  bool NothingToRead() const;               // neither bytes nor the end of the stream are waiting to be read
  bool HasUnread(std::size_t bytes) const;  // at least so many bytes, up to kMaxReadSize, wait to be read
  bool PeerClosed() const;  // the peer has closed or reset, even if bytes are still to be read
  void ShutdownWrite();     // sends a FIN after everything that was written
  void Close();             // the object is deleted once the loop has closed the socket

 private:
  Tcp(BufferPool* pool, TcpOwner* owner, Handle handle)
      : pool_(pool), owner_(owner), handle_(handle), sending_(pool), queued_(pool) {}
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }
  const uv_stream_t* stream() const { return reinterpret_cast<const uv_stream_t*>(&tcp_); }
  bool WriteOrQueue(std::initializer_list<std::string_view> parts);
  bool Send();

  uv_tcp_t tcp_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  uv_shutdown_t shutdown_{};
  BufferPool* pool_;
  TcpOwner* owner_;
  Handle handle_;
  BufferChain sending_;  // passed to libuv
  BufferChain queued_;   // written while `sending_` is in progress
  bool write_failed_ = false;
  bool closing_ = false;
};

}  // namespace ryeglade
