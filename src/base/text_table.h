// Tables as columns of numbers and words, which CSV and the columnar file are written from. No I/O.
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

// One column: its name, and a value for each row.
struct Column {
  std::string name;  // with its unit
  std::variant<Numbers, Integers, Strings> values;
};
// A named table, stored by columns.
struct TextTable {
  std::string name;
  std::vector<Column> columns;  // of one length
  std::size_t rows() const;
  // Each throws std::runtime_error for a column that is not there or holds something else, naming it.
  const Numbers& NumbersOf(const std::string& column) const;
  const Integers& IntegersOf(const std::string& column) const;
  const Strings& StringsOf(const std::string& column) const;
};

// A NaN is an empty field; words that need it are quoted.
std::string Csv(const TextTable& table);

// Adds rows field by field, in the order of the columns.
class TableBuilder {
 public:
  TableBuilder(std::string name, std::vector<Column> columns) : table_{std::move(name), std::move(columns)} {}
  template <class... T>
  void Add(T... fields) {
    std::size_t at = 0;
    (Append(at++, fields), ...);
  }
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
