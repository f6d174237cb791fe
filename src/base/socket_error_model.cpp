#include "base/socket_error_model.h"

#include <cerrno>

namespace ryeglade {

AcceptStep AfterAcceptError(int error) {
  switch (error) {
    case EAGAIN:
      return AcceptStep::kNoneWaiting;
    case ECONNABORTED:  // the peer left before it was accepted
    case EINTR:
    case EPERM:  // a firewall forbids this peer
    // Linux passes pending network errors of the new connection on as errors of accept.
    case ENETDOWN:
    case EPROTO:
    case ENOPROTOOPT:
    case EHOSTDOWN:
    case ENONET:
    case EHOSTUNREACH:
    case EOPNOTSUPP:
    case ENETUNREACH:
      return AcceptStep::kTryNext;
    default:  // EMFILE, ENFILE, ENOBUFS, ENOMEM, and what is not known
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
    case EAGAIN:  // no free local port, as Linux tells it for some sockets
    case EACCES:
    case EPERM:
      return true;
    default:
      return false;
  }
}

}  // namespace ryeglade
