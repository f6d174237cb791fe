#include "log.h"

#include <algorithm>
#include <array>
#include <cstdarg>
#include <cstdio>

#include "deadlines.h"

namespace ryeglade {

void Log(const char* format, ...) {
  std::array<char, 512> line{};
  int n = std::snprintf(line.data(), line.size(), "%lld ", static_cast<long long>(Now() / 1000));
  va_list args;
  va_start(args, format);
  n += std::vsnprintf(line.data() + n, line.size() - static_cast<std::size_t>(n), format, args);
  va_end(args);
  const auto end = std::min(static_cast<std::size_t>(n), line.size() - 2);
  line.at(end) = '\n';
  std::fwrite(line.data(), 1, end + 1, stderr);
}

}  // namespace ryeglade
