// Finding the ends of lines in a stream of server-sent events, where CR, LF and CRLF end a line.
#pragma once

#include <cstddef>
#include <cstring>
#include <string_view>

namespace ryeglade {

// Returns the offset of the first CR or LF at or after `from`, or npos if there is none.
inline std::size_t FindLineEnd(std::string_view text, std::size_t from) {
  if (from >= text.size()) return std::string_view::npos;
  const void* lf = std::memchr(text.data() + from, '\n', text.size() - from);
  const std::size_t to =
      lf == nullptr ? text.size() : static_cast<std::size_t>(static_cast<const char*>(lf) - text.data());
  const void* cr = std::memchr(text.data() + from, '\r', to - from);
  if (cr != nullptr) return static_cast<std::size_t>(static_cast<const char*>(cr) - text.data());
  return lf == nullptr ? std::string_view::npos : to;
}

}  // namespace ryeglade
