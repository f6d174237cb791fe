// Classifies errors of socket calls by what the caller should do. Pure: no I/O, no clock.
#pragma once

namespace ryeglade {

// What to do after an accept that failed.
enum class AcceptStep : unsigned char {
  kNoneWaiting,  // no connection is waiting to be accepted
  kTryNext,      // only this connection failed: accept the next one
  kTryLater,     // the process or the machine is out of some resource: retrying at once would spin
};

// `error` is an errno value of accept4.
AcceptStep AfterAcceptError(int error);

// Returns whether an errno value of socket or connect is due to this machine (descriptors, memory, ports) and
// therefore no evidence about the peer.
bool IsLocalConnectError(int error);

}  // namespace ryeglade
