// A listening TCP socket on the loop. It tells its owner when connections wait and accepts one at a time, so
// that the owner decides how many to take and what a failed accept means.
#pragma once

#include <uv.h>

#include <functional>
#include <string>

namespace ryeglade {

// Owns its descriptor; nothing is reported after Close.
class Listener {
 public:
  // `ready` is called on the loop while connections wait, unless paused.
  Listener(uv_loop_t* loop, std::function<void()> ready);

  // Binds and listens on `address` ("ip:port"; port 0: the kernel chooses). With `share_port` a second
  // process may listen on the same address. Returns the address in use; throws std::runtime_error.
  // Throws as Listen would, if `address` can't be listened on; changes nothing.
  static void Check(const std::string& address, bool share_port);
  std::string Listen(const std::string& address, bool share_port);
  bool listening() const { return poll_ != nullptr; }

  // The next connection's descriptor, non-blocking and close-on-exec; -1: none, and `*error` is errno's
  // value.
  int Accept(int* error);

  void Pause();   // connections wait in the kernel
  void Resume();  // and are told of again
  // Calls for new connections are dropped; those whose calls have come still come up and can be taken. Close
  // loses nothing once those are up.
  void DropNewConnections();
  void AllowNewConnections();  // connections come up again
  void Close();                // those that still wait are reset

 private:
  uv_loop_t* loop_;
  std::function<void()> ready_;
  int fd_ = -1;
  uv_poll_t* poll_ = nullptr;  // goes with its close
};

}  // namespace ryeglade
