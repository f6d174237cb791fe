#include "http/acceptor.h"

#include <cstring>
#include <utility>

#include "base/log.h"
#include "base/socket_error_model.h"

namespace ryeglade {
namespace {

constexpr int kMaxAcceptsPerTurn = 64;      // per loop iteration, so that other sockets get their turn
constexpr Time kAcceptRetryDelay = 20'000;  // microseconds
constexpr Time kHandshakeTime = 60'000;     // microseconds from a client's SYN to the established connection

}  // namespace

Acceptor::Acceptor(const Runtime* runtime, Callbacks callbacks)
    : runtime_(runtime),
      callbacks_(std::move(callbacks)),
      listener_(runtime->loop, [this] { AcceptSome(); }) {}

std::string Acceptor::Listen(const std::string& address, bool share_port) {
  return listener_.Listen(address, share_port);
}

void Acceptor::AcceptSome() {
  for (int n = 0; n < kMaxAcceptsPerTurn && listener_.listening(); ++n) {
    if (!callbacks_.make_capacity()) return AcceptLater("no-room");
    if (!AcceptOne()) return;
  }
}

// Retries after a delay, because nothing signals that accepting is possible again: idle clients do not close
// their connections by themselves, and the system does not report when a scarce resource is available again.
// Pausing the listener meanwhile keeps the loop from spinning.
void Acceptor::AcceptLater(const char* reason) {
  listener_.Pause();
  if (!deferred_) {
    Log(Level::kWarn, "accept-deferred", {{"clients", callbacks_.connections()}, {"why", reason}});
  }
  deferred_ = true;
  runtime_->deadlines->Set(Now() + kAcceptRetryDelay, [this] {
    if (!listener_.listening()) return;
    listener_.Resume();
    AcceptSome();
  });
}

// Returns false if nothing more can be accepted now.
bool Acceptor::AcceptOne() {
  int error = 0;
  const int fd = listener_.Accept(&error);
  if (fd >= 0) {
    deferred_ = false;
    callbacks_.on_connection(fd);
    return true;
  }
  const AcceptStep next = AfterAcceptError(error);
  if (next == AcceptStep::kTryLater) AcceptLater(std::strerror(error));
  return next == AcceptStep::kTryNext;
}

void Acceptor::Stop() {
  if (!listener_.listening() || stopping_) return;
  listener_.DropNewConnections();
  stopping_ = true;
  runtime_->deadlines->Set(Now() + kHandshakeTime, [this] { AcceptWaitingAndClose(); });
}

void Acceptor::StopNow() {
  listener_.DropNewConnections();
  AcceptWaitingAndClose();
}

void Acceptor::AcceptWaitingAndClose() {
  stopping_ = false;
  if (!listener_.listening()) return;
  AcceptWaiting();
  deferred_ = false;
  listener_.Close();
  Log(Level::kInfo, "listener-closed", {{"clients", callbacks_.connections()}});
}

// Connections that the kernel has established and that have not been accepted are reset when the listener
// closes. They are therefore accepted here and not in the next loop iteration, before which more could
// arrive.
void Acceptor::AcceptWaiting() {
  while (listener_.listening() && callbacks_.has_capacity() && AcceptOne()) {
  }
}

void Acceptor::Close() { listener_.Close(); }

}  // namespace ryeglade
