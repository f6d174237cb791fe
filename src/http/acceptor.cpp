#include "http/acceptor.h"

#include <cstring>
#include <utility>

#include "base/log.h"
#include "base/socket_error_model.h"

namespace ryeglade {
namespace {

constexpr int kAcceptsAtOnce = 64;  // in one turn of the loop, so that the others get theirs
constexpr Time kAcceptRetryDelay = 20'000;
constexpr Time kHandshakeTime = 60'000;  // from the call for a connection until it is up

}  // namespace

Acceptor::Acceptor(const Runtime* runtime, Callbacks callbacks)
    : runtime_(runtime),
      callbacks_(std::move(callbacks)),
      listener_(runtime->loop, [this] { AcceptSome(); }) {}

std::string Acceptor::Listen(const std::string& address, bool share_port) {
  return listener_.Listen(address, share_port);
}

void Acceptor::AcceptSome() {
  for (int n = 0; n < kAcceptsAtOnce && listener_.listening(); ++n) {
    if (!callbacks_.make_capacity()) return AcceptLater("no-room");
    if (!AcceptOne()) return;
  }
}

// Guards against a connection that is never taken, and against a loop that spins on what can't be accepted:
// clients that become idle close nothing themselves, and a machine that is short of something tells no one
// when it has it again.
void Acceptor::AcceptLater(const char* reason) {
  listener_.Pause();
  if (!waiting_) {
    Log(Level::kWarn, "accept-deferred", {{"clients", callbacks_.connections()}, {"why", reason}});
  }
  waiting_ = true;
  runtime_->deadlines->Set(Now() + kAcceptRetryDelay, [this] {
    if (!listener_.listening()) return;
    listener_.Resume();
    AcceptSome();
  });
}

// False: nothing more can be accepted now.
bool Acceptor::AcceptOne() {
  int error = 0;
  const int fd = listener_.Accept(&error);
  if (fd >= 0) {
    waiting_ = false;
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
  waiting_ = false;
  listener_.Close();
  Log(Level::kInfo, "listener-closed", {{"clients", callbacks_.connections()}});
}

// Guards against resets: a connection that the kernel has set up and nobody has taken goes with the listener.
// The loop would take them only on its next turn, and more come until then.
void Acceptor::AcceptWaiting() {
  while (listener_.listening() && callbacks_.has_capacity() && AcceptOne()) {
  }
}

void Acceptor::Close() { listener_.Close(); }

}  // namespace ryeglade
