#include "base/text_table.h"

#include <fmt/format.h>

#include <cmath>
#include <stdexcept>

namespace ryeglade {
namespace {

std::string Quoted(const std::string& text) {
  if (text.find_first_of(",\"\r\n") == std::string::npos) return text;
  std::string out = "\"";
  for (const char c : text) out += c == '"' ? std::string("\"\"") : std::string(1, c);
  return out + "\"";
}

template <class T>
const T& FindColumn(const TextTable& table, const std::string& name, const char* kind) {
  for (const Column& c : table.columns) {
    if (c.name != name) continue;
    if (const auto* values = std::get_if<T>(&c.values)) return *values;
    throw std::runtime_error("table " + table.name + ": column " + name + " does not contain " + kind);
  }
  throw std::runtime_error("table " + table.name + ": there is no column " + name);
}

}  // namespace

std::size_t TextTable::rows() const {
  return columns.empty() ? 0 : std::visit([](const auto& v) { return v.size(); }, columns.front().values);
}

const Numbers& TextTable::NumbersOf(const std::string& column) const {
  return FindColumn<Numbers>(*this, column, "numbers");
}
const Integers& TextTable::IntegersOf(const std::string& column) const {
  return FindColumn<Integers>(*this, column, "integers");
}
const Strings& TextTable::StringsOf(const std::string& column) const {
  return FindColumn<Strings>(*this, column, "strings");
}

std::string Csv(const TextTable& table) {
  std::string out;
  for (std::size_t c = 0; c < table.columns.size(); ++c) out += (c > 0 ? "," : "") + table.columns[c].name;
  out += '\n';
  for (std::size_t row = 0; row < table.rows(); ++row) {
    for (std::size_t c = 0; c < table.columns.size(); ++c) {
      if (c > 0) out += ',';
      const auto& values = table.columns[c].values;
      if (const auto* numbers = std::get_if<Numbers>(&values)) {
        if (!std::isnan((*numbers)[row])) out += fmt::format("{:.6g}", (*numbers)[row]);
      } else if (const auto* integers = std::get_if<Integers>(&values)) {
        out += std::to_string((*integers)[row]);
      } else {
        out += Quoted(std::get<Strings>(values)[row]);
      }
    }
    out += '\n';
  }
  return out;
}

}  // namespace ryeglade
