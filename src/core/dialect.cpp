#include "core/dialect.h"

#include <charconv>

namespace ryeglade {

std::optional<double> FindLastNumber(std::string_view text, std::string_view name) {
  std::size_t at = text.rfind(name);
  if (at == std::string_view::npos) return std::nullopt;
  at += name.size();
  while (at < text.size() && (text[at] == ' ' || text[at] == ':')) ++at;
  double number = 0;
  std::from_chars(text.data() + at, text.data() + text.size(), number);
  return number;
}

}  // namespace ryeglade
