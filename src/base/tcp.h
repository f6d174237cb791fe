// One TCP socket on the loop, client side or server side. It belongs to a slot of its owner's table and
// reports by handle; after Close nothing more is reported.
#pragma once

#include <uv.h>

#include <initializer_list>
#include <string>
#include <string_view>

#include "base/buffer_pool.h"
#include "base/slot_table.h"

namespace ryeglade {

// What a socket reports, by the handle that its owner gave it. All are called on the loop.
class TcpOwner {
 public:
  virtual ~TcpOwner() = default;
  virtual void OnConnected(Handle, int /*status*/) {}
  virtual void OnRead(Handle handle, std::string_view bytes) = 0;
  virtual void OnDisconnected(Handle handle) = 0;  // the peer closed, or the connection broke
  virtual void OnDrained(Handle) {}                // all that was written is with the kernel
};

socklen_t SockaddrLength(const sockaddr* address);  // bytes, of its family: IPv6, else IPv4
bool ParseAddress(const std::string& text, sockaddr_storage* address);  // "ip:port", "[ip]:port"

// Made by New, and deletes itself some time after Close; not to be used after Close.
class Tcp {
 public:
  static Tcp* New(uv_loop_t* loop, BufferPool* pool, TcpOwner* owner, Handle handle);
  bool Accept(uv_stream_t* listener);
  bool Open(int fd);                       // an accepted connection, from here on this one's, or closed
  int Bind(const sockaddr_storage& from);  // before Connect: the address to come from; a libuv error code
  int Connect(const sockaddr_storage& address);  // a libuv error code; 0: OnConnected tells how it went
  void StartReading();
  void StopReading() { uv_read_stop(stream()); }
  // Writes at once what the kernel takes and keeps the rest; false: the connection is broken or the pool is
  // exhausted, and the owner should close.
  bool Write(std::string_view bytes) { return Write({bytes}); }
  bool Write(std::initializer_list<std::string_view> parts);
  // Bytes that the kernel has not taken yet. libuv reports a write as done only on a later turn of its loop;
  // until then `sending_` still holds bytes that may have reached the peer.
  std::size_t unsent() const { return uv_stream_get_write_queue_size(stream()) + queued_.size(); }
  sockaddr_storage PeerAddress() const;   // all zero: not known
  sockaddr_storage LocalAddress() const;  // the same of this end
  void ResetOnClose();                    // Close sends a reset, and drops what is unsent
  bool NothingToRead() const;             // nothing waits to be read, neither bytes nor the end
  bool PeerClosed() const;  // the peer has closed or reset, whether or not bytes wait to be read
  void ShutdownWrite();     // a FIN after all that was written
  void Close();             // the object is gone once the loop has closed the socket

 private:
  Tcp(BufferPool* pool, TcpOwner* owner, Handle handle)
      : pool_(pool), owner_(owner), handle_(handle), sending_(pool), queued_(pool) {}
  uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&tcp_); }
  const uv_stream_t* stream() const { return reinterpret_cast<const uv_stream_t*>(&tcp_); }
  bool Send();

  uv_tcp_t tcp_{};
  uv_connect_t connect_{};
  uv_write_t write_{};
  uv_shutdown_t shutdown_{};
  BufferPool* pool_;
  TcpOwner* owner_;
  Handle handle_;
  BufferChain sending_, queued_;
  bool closing_ = false;
};

}  // namespace ryeglade
