// API keys of clients. The key file has only salted hashes; a key is `rg-<id>-<secret>` with a secret of 256
// random bits, so one round of SHA-256 is enough: there is nothing to guess, and thousands of invalid keys a
// second cost little.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "limits/limits_policy.h"

namespace ryeglade::keys {

struct Key {
  std::string id;            // 8 hexadecimal digits; public
  std::string name;          // whose it is
  std::string salt, hash;    // hexadecimal; hash = SHA-256(salt bytes, secret bytes)
  std::string created;       // a date, for people
  limits::KeyLimits limits;  // a field that is 0 takes the default of the settings
  std::string class_name;    // the class of its requests, if the routes name none; empty: none
};

class Keyring {
 public:
  static constexpr std::size_t kMaxKeys = 100'000;

  // Throws SettingsError naming file, line, key and remedy.
  static Keyring Parse(const std::string& file, const std::string& text);
  // The same, from a file that only its owner may read.
  static Keyring Load(const std::string& path);

  // The key that `presented` is, or null. Takes the same time whether the id is known and however much of the
  // secret is right.
  const Key* Verify(std::string_view presented) const;
  const Key* Find(const std::string& id) const;
  std::size_t size() const { return keys_.size(); }
  const std::vector<std::string>& ids() const { return order_; }  // ids in the order of the file

  void Add(Key key);
  bool Remove(const std::string& id);
  std::string Text() const;                  // the key file's
  void Save(const std::string& path) const;  // atomically, mode 0600; throws SettingsError

 private:
  std::unordered_map<std::string, Key> keys_;  // by id
  std::vector<std::string> order_;             // ids, as in the file
};

struct NewKey {
  Key key;
  std::string presented;  // what the client sends; shown once, kept nowhere
};
NewKey MakeKey(const std::string& name);  // throws std::runtime_error if there is no randomness
// A key that is any text, for demonstrations and tests: its id comes from the text, so a weak one can be
// guessed from the file.
Key KeyFromText(const std::string& name, const std::string& text);

}  // namespace ryeglade::keys
