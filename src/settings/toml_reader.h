// Reads settings in TOML so that each error names file, line, key, what is wrong and what is allowed. An
// unknown key is an error too, which suggests the most similar known key.
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

// A settings file can't be read or is invalid. what() is the whole message for the operator.
class SettingsError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

// Parses the text of a file, whose name is used in errors. Throws SettingsError if it is not TOML.
toml::table ParseToml(const std::string& file, const std::string& text);
// Throws SettingsError if the file can't be read.
std::string ReadWholeFile(const std::string& path);

// One table of the file. Each method that reads a key returns `fallback` (or an empty result) if the key is
// absent, and throws SettingsError if its value has another type or is out of range. Call RejectUnknownKeys()
// after all known keys have been read.
class TomlSection {
 public:
  // `path` is the dotted name of the table, empty for the whole file. `table` is null if the file does not
  // have it.
  TomlSection(std::string file, std::string path, const toml::table* table)
      : file_(std::move(file)), path_(std::move(path)), table_(table) {}

  bool present() const { return table_ != nullptr; }
  bool Has(const std::string& key);

  std::string Text(const std::string& key, const std::string& fallback);
  // Throws SettingsError if the text is absent or empty. `description` says in the error what the text is.
  std::string RequiredText(const std::string& key, const std::string& description);
  // Reads a text that must be one of `allowed`.
  std::string Choice(const std::string& key, const std::vector<std::string>& allowed,
                     const std::string& fallback);
  // `min` and `max` are allowed values themselves, here and below.
  double Number(const std::string& key, double min, double max, double fallback);
  std::size_t Integer(const std::string& key, std::size_t min, std::size_t max, std::size_t fallback);
  bool Flag(const std::string& key, bool fallback);
  // Reads a duration such as "250ms", "7.5s", "2m" or "1h", in microseconds. A number without a unit is an
  // error.
  policy::Time Duration(const std::string& key, policy::Time min, policy::Time max, policy::Time fallback);
  // Reads a size such as "512B", "256KiB" or "4MiB", in bytes. A number without a unit is an error.
  std::size_t Bytes(const std::string& key, std::size_t min, std::size_t max, std::size_t fallback);
  // Reads a rate such as "1800/s" or "60/m", per second. A number without a unit is an error.
  double Rate(const std::string& key, double min, double max, double fallback);
  // Reads a list of texts.
  std::vector<std::string> Texts(const std::string& key);
  TomlSection Table(const std::string& key);                // [key]; present() is false if it is absent
  std::vector<TomlSection> Tables(const std::string& key);  // all [[key]], in order; empty if absent

  // Throws SettingsError with the location of the key before `error`.
  [[noreturn]] void Fail(const std::string& key, const std::string& error) const;
  // Throws SettingsError if the table has a key that no method was called with.
  void RejectUnknownKeys() const;

 private:
  const toml::node* Find(const std::string& key);
  std::string Location(const std::string& key) const;  // "file:line: table.key"

  std::string file_, path_;
  const toml::table* table_;
  std::vector<std::string> known_;  // keys that methods were called with
};

}  // namespace ryeglade
