// What an error of a socket call says, and so what the caller should do about it.
#pragma once

namespace ryeglade {

// What to do after an accept that failed.
enum class AcceptStep : unsigned char {
  kNoneWaiting,  // no connection waits to be accepted
  kTryNext,      // this one connection failed; the next may not
  kTryLater,     // the process or the machine is short of something: trying again at once would spin
};

// `error` is an errno value of accept4.
AcceptStep AfterAcceptError(int error);

// Whether an errno value of socket or connect is a fault of this machine (descriptors, memory, ports) and so
// says nothing about the peer.
bool IsLocalConnectError(int error);

}  // namespace ryeglade
