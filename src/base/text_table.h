// Tables with columns of numbers or strings, from which CSV and columnar files are written. No I/O.
#pragma once

#include <concepts>
#include <cstdint>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace ryeglade {

using Numbers = std::vector<double>;
using Integers = std::vector<std::int64_t>;
using Strings = std::vector<std::string>;

// One column, with a value for each row.
struct Column {
  std::string name;  // includes the unit
  std::variant<Numbers, Integers, Strings> values;
};
// A named table, stored by columns.
struct TextTable {
  std::string name;
  std::vector<Column> columns;  // all of the same length
  std::size_t rows() const;
  // These functions return the values of a column. They throw std::runtime_error if there is no such column
  // or it has another type.
  const Numbers& NumbersOf(const std::string& column) const;
  const Integers& IntegersOf(const std::string& column) const;
  const Strings& StringsOf(const std::string& column) const;
};

// Formats a table as CSV, with a header line. Numbers are given with six significant digits; NaN becomes an
// empty field; strings are quoted where necessary.
std::string Csv(const TextTable& table);

// Builds a table row by row; fields are given in the order of the columns.
class TableBuilder {
 public:
  TableBuilder(std::string name, std::vector<Column> columns) : table_{std::move(name), std::move(columns)} {}
  // Adds one row. The type of each field must be that of its column.
  template <class... T>
  void Add(T... fields) {
    std::size_t at = 0;
    (Append(at++, fields), ...);
  }
  // Returns the table. The builder must not be used any more.
  TextTable Take() { return std::move(table_); }

 private:
  void Append(std::size_t at, double v) { std::get<Numbers>(table_.columns[at].values).push_back(v); }
  void Append(std::size_t at, const std::string& v) {
    std::get<Strings>(table_.columns[at].values).push_back(v);
  }
  void Append(std::size_t at, const char* v) { std::get<Strings>(table_.columns[at].values).emplace_back(v); }
  template <std::integral T>
  void Append(std::size_t at, T v) {
    std::get<Integers>(table_.columns[at].values).push_back(static_cast<std::int64_t>(v));
  }
  TextTable table_;
};

}  // namespace ryeglade
