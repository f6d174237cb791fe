#include "lab/progress.h"

#include <unistd.h>

#include <chrono>
#include <cstdio>

namespace ryeglade::lab {

std::function<void(double)> ProgressLine() {
  using Clock = std::chrono::steady_clock;
  if (isatty(STDERR_FILENO) == 0) return nullptr;
  return [began = Clock::now()](double done) {
    const double spent = std::chrono::duration<double>(Clock::now() - began).count();
    std::fprintf(stderr, "\r  %3.0f%%, %.0f s left   ", 100 * done, done > 0 ? spent / done - spent : 0.0);
    if (done >= 1) std::fputs("\n", stderr);
    std::fflush(stderr);
  };
}

}  // namespace ryeglade::lab
