// Accepts client connections from a listener while its owner has capacity, and defers accepting while it has
// none. Closes the listener without losing connections that are already established.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "base/listener.h"
#include "base/runtime.h"

namespace ryeglade {

// Owns the listener. Ownership of a connection passes to the owner with on_connection.
class Acceptor {
 public:
  // Implemented by the owner. All are called on the loop.
  struct Callbacks {
    std::function<bool()> has_capacity;  // returns whether there is capacity for one more connection
    // The same, but closes an existing connection that may be replaced if that is needed.
    std::function<bool()> make_capacity;
    std::function<void(int fd)> on_connection;  // takes over the descriptor of an accepted connection
    std::function<std::size_t()> connections;   // returns the number of open connections, for the log
  };
  // `runtime` is not owned.
  Acceptor(const Runtime* runtime, Callbacks callbacks);

  // See Listener::Listen; throws std::runtime_error.
  std::string Listen(const std::string& address, bool share_port);
  bool listening() const { return listener_.listening(); }

  // Stops admitting new connections at once, and closes the listener after a short delay, once the waiting
  // connections have been accepted. The delay lets handshakes that have already begun complete.
  void Stop();
  // The same without the delay, for when another process listens on the same address.
  void StopNow();
  void Close();  // closes the listener at once; connections that have not been accepted are reset

 private:
  void AcceptSome();
  bool AcceptOne();
  void AcceptLater(const char* reason);
  void AcceptWaiting();
  void AcceptWaitingAndClose();

  const Runtime* runtime_;
  Callbacks callbacks_;
  Listener listener_;
  bool deferred_ = false;  // accepting is deferred for lack of capacity or of a system resource
  bool stopping_ = false;  // Stop was called and the listener is not closed yet
};

}  // namespace ryeglade
