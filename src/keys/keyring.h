// API keys of clients. The key file holds only salted hashes. A key is `rg-<id>-<secret>` with a secret of
// 256 random bits. One round of SHA-256 is therefore enough: such a secret cannot be guessed, and checking
// thousands of invalid keys per second stays cheap.
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
  std::string id;            // 8 hexadecimal digits; not secret
  std::string name;          // name of the owner; may be empty
  std::string salt, hash;    // hexadecimal; hash = SHA-256(decoded salt followed by the secret as text)
  std::string created;       // date as YYYY-MM-DD, for operators to read; may be empty
  limits::KeyLimits limits;  // for a limit of 0 the default from the settings applies
  std::string class_name;    // class of requests whose route names no class; empty if the key has none
};

// The keys of one key file.
class Keyring {
 public:
  static constexpr std::size_t kMaxKeys = 100'000;

  // Throws SettingsError that names the file, the line, the key and a remedy.
  static Keyring Parse(const std::string& file, const std::string& text);
  // Reads and parses a file. Throws SettingsError as Parse does, and also if the file does not exist or users
  // other than its owner may access it.
  static Keyring Load(const std::string& path);

  // Returns the key that matches the text sent by a client, or null if none does. Takes the same time whether
  // or not the id is known, and however many characters of the secret match.
  const Key* Verify(std::string_view presented) const;
  const Key* Find(const std::string& id) const;  // returns null if there is no key with this id
  std::size_t size() const { return keys_.size(); }
  const std::vector<std::string>& ids() const { return order_; }  // in the order of the file

  void Add(Key key);                         // replaces a key with the same id
  bool Remove(const std::string& id);        // returns false if there is no key with this id
  std::string Text() const;                  // the content of the key file
  void Save(const std::string& path) const;  // writes atomically with mode 0600; throws SettingsError

 private:
  std::unordered_map<std::string, Key> keys_;  // by id
  std::vector<std::string> order_;             // ids, in the order of the file
};

struct NewKey {
  Key key;
  std::string presented;  // the text that the client sends; shown once and stored nowhere
};
// Makes a key with a random id and a random secret. Throws std::runtime_error if OpenSSL fails.
NewKey MakeKey(const std::string& name);
// Makes a key whose secret is an arbitrary text, for demonstrations and tests only: the id is derived from
// the text, so that a weak text can be guessed from the key file.
Key KeyFromText(const std::string& name, const std::string& text);

}  // namespace ryeglade::keys
