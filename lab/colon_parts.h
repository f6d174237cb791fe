// Splits an option such as "restart:60:10" at its colons. The result has at least one part; parts may be
// empty.
#pragma once

#include <string>
#include <vector>

namespace ryeglade::lab {

inline std::vector<std::string> SplitAtColons(const std::string& text) {
  std::vector<std::string> parts{""};
  for (const char c : text) {
    if (c == ':') {
      parts.emplace_back();
    } else {
      parts.back() += c;
    }
  }
  return parts;
}

}  // namespace ryeglade::lab
