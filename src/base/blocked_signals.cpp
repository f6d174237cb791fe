#include "base/blocked_signals.h"

#include <csignal>

namespace ryeglade {
namespace {

// `how` is SIG_BLOCK or SIG_UNBLOCK.
void ChangeSignalMask(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void BlockSignals() { ChangeSignalMask(SIG_BLOCK); }
void UnblockSignals() { ChangeSignalMask(SIG_UNBLOCK); }

}  // namespace ryeglade
