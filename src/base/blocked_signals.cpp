#include "base/blocked_signals.h"

#include <csignal>

namespace ryeglade {
namespace {

void Change(int how) {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGTERM);
  pthread_sigmask(how, &signals, nullptr);
}

}  // namespace

void BlockSignals() { Change(SIG_BLOCK); }
void UnblockSignals() { Change(SIG_UNBLOCK); }

}  // namespace ryeglade
