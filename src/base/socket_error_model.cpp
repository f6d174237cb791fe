#include "base/socket_error_model.h"

#include <cerrno>

namespace ryeglade {

AcceptStep AfterAcceptError(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptStep::kNoneWaiting;
    case ECONNABORTED:  // the peer closed the connection before it was accepted
    case EINTR:
    case EPERM:  // a firewall forbids this peer
    // Linux returns pending network errors of the new connection as errors of accept.
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
      return AcceptStep::kTryNext;
    default:  // EMFILE, ENFILE, ENOBUFS, ENOMEM and unknown errors
      return AcceptStep::kTryLater;
  }
}

bool IsLocalConnectError(int error) {
  switch (error) {
    case EMFILE:
    case ENFILE:
    case ENOBUFS:
    case ENOMEM:
    case EADDRNOTAVAIL:
    case EADDRINUSE:
    case EAGAIN:  // Linux returns this for some sockets if no local port is free
    case EACCES:
    case EPERM:
      return true;
    default:
      return false;
  }
}

}  // namespace ryeglade
