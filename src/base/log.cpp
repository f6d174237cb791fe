#include "base/log.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>
#include <utility>

#include "base/deadlines.h"

namespace ryeglade {

constexpr int kMostPerSecond = 300;

void Log(const char* format, ...) {
  // Guards against a reader of the log that stalls: the node must not wait for it. A pipe that is writable
  // takes a whole line of this size.
  static unsigned long long dropped = 0;
  // Guards against clients who make the node write more than it serves.
  static Time second = 0;
  static int lines = 0;
  if (Now() / 1'000'000 != second) {
    second = Now() / 1'000'000;
    lines = 0;
  }
  if (++lines > kMostPerSecond) {
    ++dropped;
    return;
  }
  pollfd room{STDERR_FILENO, POLLOUT, 0};
  if (poll(&room, 1, 0) != 1 || (room.revents & POLLOUT) == 0) {
    ++dropped;
    return;
  }
  std::array<char, 512> line{};
  int n = std::snprintf(line.data(), line.size(), "%lld ", static_cast<long long>(Now() / 1000));
  if (dropped > 0) {
    n += std::snprintf(line.data() + n, line.size() - static_cast<std::size_t>(n), "(%llu lines dropped) ",
                       std::exchange(dropped, 0));
  }
  va_list args;
  va_start(args, format);
  n += std::vsnprintf(line.data() + n, line.size() - static_cast<std::size_t>(n), format, args);
  va_end(args);
  const auto end = std::min(static_cast<std::size_t>(n), line.size() - 2);
  line.at(end) = '\n';
  if (write(STDERR_FILENO, line.data(), end + 1) < 0) ++dropped;
}

}  // namespace ryeglade
