// Reads settings in TOML so that each error names file, line, key, what is wrong and what is allowed. Keys
// that nobody asked for are errors too, with the nearest known one.
#pragma once

#include <toml++/toml.h>

#include <cstddef>
#include <functional>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Throws SettingsError if the file can't be read or is not TOML.
toml::table ParseToml(const std::string& file, const std::string& text);
std::string ReadWholeFile(const std::string& path);  // throws SettingsError

// One table of the file. RejectUnknownKeys() when all its keys have been asked for.
class TomlSection {
 public:
  TomlSection(std::string file, std::string path, const toml::table* table)
      : file_(std::move(file)), path_(std::move(path)), table_(table) {}

  bool present() const { return table_ != nullptr; }
  bool Has(const std::string& key);

  std::string Text(const std::string& key, const std::string& fallback);
  std::string RequiredText(const std::string& key, const std::string& what);  // text that must be there
  std::string Choice(const std::string& key, const std::vector<std::string>& allowed,
                     const std::string& fallback);
  double Number(const std::string& key, double least, double most, double fallback);
  std::size_t Integer(const std::string& key, std::size_t least, std::size_t most, std::size_t fallback);
  bool Flag(const std::string& key, bool fallback);
  // "250ms", "7.5s", "2m", "1h"; microseconds. A bare number is an error: its unit would be a guess.
  policy::Time Duration(const std::string& key, policy::Time least, policy::Time most, policy::Time fallback);
  // "256KiB", "4MiB"; bytes.
  std::size_t Bytes(const std::string& key, std::size_t least, std::size_t most, std::size_t fallback);
  // "1800/s", "60/m"; a second. A bare number is an error here too.
  double Rate(const std::string& key, double least, double most, double fallback);
  std::vector<std::string> Texts(const std::string& key);
  TomlSection Table(const std::string& key);                // absent: not present()
  std::vector<TomlSection> Tables(const std::string& key);  // [[key]]

  [[noreturn]] void Fail(const std::string& key, const std::string& what) const;
  void RejectUnknownKeys() const;  // throws for a key that nobody asked for

 private:
  const toml::node* Find(const std::string& key);
  std::string At(const std::string& key) const;

  std::string file_, path_;
  const toml::table* table_;
  std::vector<std::string> known_;
};

}  // namespace ryeglade
