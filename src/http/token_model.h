// Character classes of HTTP/1.1: the bytes of names and of field values. Pure: no I/O, no clock.
#pragma once

#include <algorithm>
#include <string_view>

namespace ryeglade {

// Whether `c` is a blank within a line (RFC 9110, section 5.6.3).
inline bool IsBlank(char c) { return c == ' ' || c == '\t'; }

// Whether `c` may be part of a token, such as a field's name (RFC 9110, section 5.6.2).
inline bool IsTokenByte(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit ||
         (c != '\0' && std::string_view("!#$%&'*+-.^_`|~").find(c) != std::string_view::npos);
}

// Whether `c` may be part of a field's value: no control character but the tab.
inline bool IsFieldValueByte(char c) {
  const auto byte = static_cast<unsigned char>(c);
  return c == '\t' || (byte >= 0x20 && byte != 0x7f);
}

// Whether `text` is a token; an empty one is not.
inline bool IsToken(std::string_view text) {
  return !text.empty() && std::all_of(text.begin(), text.end(), IsTokenByte);
}

}  // namespace ryeglade
