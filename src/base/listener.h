// A listening TCP socket on the loop. It notifies its owner when connections are waiting, and accepts one at
// a time, so that the owner decides how many to accept and how to handle a failed accept.
#pragma once

#include <uv.h>

#include <functional>
#include <string>

namespace ryeglade {

// Owns its descriptor; the owner is not notified any more after Close.
class Listener {
 public:
  // `ready` is called on the loop while connections are waiting, unless the listener is paused.
  Listener(uv_loop_t* loop, std::function<void()> ready);

  // Throws like Listen if it is not possible to bind to `address`; changes nothing.
  static void Check(const std::string& address, bool share_port);
  // Binds to `address` ("ip:port"; with port 0 the kernel chooses the port) and listens. With `share_port` a
  // second process may listen on the same address. Returns the address in use; throws std::runtime_error on
  // failure.
  std::string Listen(const std::string& address, bool share_port);
  bool listening() const { return poll_ != nullptr; }

  // Returns the descriptor of the next connection, non-blocking and close-on-exec. If there is none, returns
  // -1 and sets `*error` to the errno value.
  int Accept(int* error);

  void Pause();   // stops notifications; connections wait in the kernel's queue
  void Resume();  // starts notifications again
  // Drops the packets that open new connections (SYN). Connections that are being opened are still
  // established and can be accepted. Once they have been accepted, Close loses no connection.
  void DropNewConnections();
  void AllowNewConnections();  // reverts DropNewConnections
  void Close();                // connections that have not been accepted are reset

 private:
  uv_loop_t* loop_;
  std::function<void()> ready_;
  int fd_ = -1;
  uv_poll_t* poll_ = nullptr;  // deleted by its close callback
};

}  // namespace ryeglade
