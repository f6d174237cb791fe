// Accepts clients' connections from a listener as long as its owner can take them, waits while it can't, and
// closes the listener without losing a connection that has come up.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "base/listener.h"
#include "base/runtime.h"

namespace ryeglade {

// Owns the listener; connections are the owner's from on_connection on.
class Acceptor {
 public:
  // What the owner is asked. All are called on the loop.
  struct Callbacks {
    std::function<bool()> has_capacity;         // for one more connection
    std::function<bool()> make_capacity;        // the same, after closing what another connection may replace
    std::function<void(int fd)> on_connection;  // an accepted connection's descriptor, now the owner's
    std::function<std::size_t()> connections;   // how many there are, for the log
  };
  // `runtime` is not owned.
  Acceptor(const Runtime* runtime, Callbacks callbacks);

  // As in Listener; throws std::runtime_error.
  std::string Listen(const std::string& address, bool share_port);
  bool listening() const { return listener_.listening(); }

  // No new connection comes up from here on; those that come up before are taken, then the listener closes.
  // In two steps: connections that were called for before the first one are up before the second one.
  void Stop();
  // The same in one step, for when another process listens at the address.
  void StopNow();
  void Close();  // the listener, at once; connections that still wait are reset

 private:
  void AcceptSome();
  bool AcceptOne();
  void AcceptLater(const char* reason);
  void AcceptWaiting();
  void AcceptWaitingAndClose();

  const Runtime* runtime_;
  Callbacks callbacks_;
  Listener listener_;
  bool waiting_ = false;  // connections wait to be accepted, for want of capacity or of what the system lacks
  bool stopping_ = false;  // no new connection comes up, and the listener closes soon
};

}  // namespace ryeglade
