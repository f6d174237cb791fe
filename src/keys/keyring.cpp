#include "keys/keyring.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <sys/stat.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cerrno>
#include <cstring>
#include <ctime>
#include <sstream>
#include <stdexcept>

#include "base/file_io.h"
#include "settings/edge_settings.h"
#include "settings/toml_reader.h"

namespace ryeglade::keys {
namespace {

constexpr std::string_view kPrefix = "rg-";
constexpr std::size_t kIdDigits = 8, kSecretDigits = 64, kSaltDigits = 32, kHashDigits = 64;
constexpr std::size_t kPresentedSize = kPrefix.size() + kIdDigits + 1 + kSecretDigits;

bool IsHex(std::string_view text, std::size_t digits) {
  return text.size() == digits && std::all_of(text.begin(), text.end(), [](unsigned char c) {
           return std::isdigit(c) || (c >= 'a' && c <= 'f');
         });
}

std::string ToHex(const unsigned char* bytes, std::size_t n) {
  std::string out;
  for (std::size_t i = 0; i < n; ++i) out += fmt::format("{:02x}", bytes[i]);
  return out;
}

std::string FromHex(std::string_view hex) {
  const auto digit = [](char c) { return c <= '9' ? c - '0' : c - 'a' + 10; };
  std::string out;
  for (std::size_t i = 0; i + 1 < hex.size(); i += 2) {
    out += static_cast<char>(digit(hex[i]) * 16 + digit(hex[i + 1]));
  }
  return out;
}

using Digest = std::array<unsigned char, 32>;

// Hashes the decoded salt followed by the secret.
Digest Sha256(std::string_view salt_hex, std::string_view secret) {
  Digest digest{};
  const std::string text = FromHex(salt_hex) + std::string(secret);
  unsigned length = 0;
  if (EVP_Digest(text.data(), text.size(), digest.data(), &length, EVP_sha256(), nullptr) != 1) {
    throw std::runtime_error("OpenSSL failed to compute a SHA-256 digest");
  }
  return digest;
}

std::string RandomHex(std::size_t digits) {
  std::array<unsigned char, 32> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(digits / 2)) != 1) {
    throw std::runtime_error("OpenSSL failed to provide random bytes");
  }
  return ToHex(bytes.data(), digits / 2);
}

constexpr std::size_t kMaxPresentedSize = 256;  // bytes; a longer text is rejected without being hashed

// Returns the id of a key made by KeyFromText.
std::string IdOfText(std::string_view text) {
  const Digest digest = Sha256("", text);
  return ToHex(digest.data(), kIdDigits / 2);
}

}  // namespace

Keyring Keyring::Parse(const std::string& file, const std::string& text) {
  const toml::table table = ParseToml(file, text);
  TomlSection top(file, "", &table);
  Keyring ring;
  for (TomlSection& entry : top.Tables("key")) {
    Key key;
    key.id = entry.RequiredText("id", "8 hexadecimal digits, as `ryeglade key new` makes them");
    if (!IsHex(key.id, kIdDigits)) entry.Fail("id", "must be 8 lower-case hexadecimal digits");
    if (ring.keys_.contains(key.id)) entry.Fail("id", "occurs twice in the file; revoke one of the two keys");
    key.name = entry.Text("name", "");
    key.salt = entry.RequiredText("salt", "32 hexadecimal digits");
    if (!IsHex(key.salt, kSaltDigits)) entry.Fail("salt", "must be 32 lower-case hexadecimal digits");
    key.hash = entry.RequiredText("hash", "64 hexadecimal digits; this file never contains the key itself");
    if (!IsHex(key.hash, kHashDigits)) entry.Fail("hash", "must be 64 lower-case hexadecimal digits");
    key.created = entry.Text("created", "");
    key.class_name = entry.Text("class", "");
    key.limits = ReadKeyLimits(entry);
    entry.RejectUnknownKeys();
    if (ring.keys_.size() >= kMaxKeys)
      entry.Fail("id",
                 fmt::format("exceeds the maximum of {} keys in one file; revoke keys that are not in use",
                             kMaxKeys));
    ring.Add(std::move(key));
  }
  top.RejectUnknownKeys();
  return ring;
}

Keyring Keyring::Load(const std::string& path) {
  struct stat status {};
  if (stat(path.c_str(), &status) != 0) {
    throw SettingsError(path + ": cannot be read: " + std::strerror(errno) +
                        "; create it with `ryeglade key new`");
  }
  if ((status.st_mode & 077) != 0) {
    throw SettingsError(fmt::format("{}: is accessible to other users (mode {:o}); run: chmod 600 {}", path,
                                    static_cast<unsigned>(status.st_mode & 0777), path));
  }
  return Parse(path, ReadWholeFile(path));
}

const Key* Keyring::Verify(std::string_view presented) const {
  // An unknown id is checked against a hash that no secret has, so that the check takes as long as for a
  // known id.
  static const Key kUnknownKey{"", "", std::string(kSaltDigits, '0'), std::string(kHashDigits, '0'), "",
                               {}, ""};
  const bool well_formed = presented.size() == kPresentedSize && presented.starts_with(kPrefix) &&
                           presented[kPrefix.size() + kIdDigits] == '-';
  if (presented.empty() || presented.size() > kMaxPresentedSize) return nullptr;
  const std::string id =
      well_formed ? std::string(presented.substr(kPrefix.size(), kIdDigits)) : IdOfText(presented);
  const auto it = keys_.find(id);
  const Key& key = it == keys_.end() ? kUnknownKey : it->second;
  const Digest digest =
      Sha256(key.salt, well_formed ? presented.substr(kPresentedSize - kSecretDigits) : presented);
  const std::string expected = FromHex(key.hash);
  const bool matches = CRYPTO_memcmp(digest.data(), expected.data(), digest.size()) == 0;
  return matches && it != keys_.end() ? &it->second : nullptr;
}

const Key* Keyring::Find(const std::string& id) const {
  const auto it = keys_.find(id);
  return it == keys_.end() ? nullptr : &it->second;
}

void Keyring::Add(Key key) {
  const std::string id = key.id;
  if (keys_.insert_or_assign(id, std::move(key)).second) order_.push_back(id);
}

bool Keyring::Remove(const std::string& id) {
  if (keys_.erase(id) == 0) return false;
  std::erase(order_, id);
  return true;
}

std::string Keyring::Text() const {
  std::string out =
      "# Keys of clients, as salted hashes. Made by `ryeglade key`; keep the mode at 600. SIGHUP takes a "
      "change up.\n";
  for (const std::string& id : order_) {
    const Key& key = keys_.at(id);
    toml::table entry;
    entry.insert("id", key.id);
    if (!key.name.empty()) entry.insert("name", key.name);
    entry.insert("salt", key.salt);
    entry.insert("hash", key.hash);
    if (!key.created.empty()) entry.insert("created", key.created);
    if (!key.class_name.empty()) entry.insert("class", key.class_name);
    if (key.limits.requests_per_min > 0) entry.insert("requests_per_min", key.limits.requests_per_min);
    if (key.limits.tokens_per_min > 0) entry.insert("tokens_per_min", key.limits.tokens_per_min);
    if (key.limits.streams > 0) entry.insert("streams", static_cast<std::int64_t>(key.limits.streams));
    std::ostringstream text;
    text << entry;
    out += "\n[[key]]\n" + text.str() + "\n";
  }
  return out;
}

void Keyring::Save(const std::string& path) const {
  const FileError failure = ReplaceFile(path, Text(), 0600);
  if (failure.error != 0) {
    throw SettingsError(fmt::format("{}: {}: {}", path, failure.what, std::strerror(failure.error)));
  }
}

Key KeyFromText(const std::string& name, const std::string& text) {
  Key key;
  key.id = IdOfText(text);
  key.name = name;
  key.salt = RandomHex(kSaltDigits);
  const Digest digest = Sha256(key.salt, text);
  key.hash = ToHex(digest.data(), digest.size());
  return key;
}

NewKey MakeKey(const std::string& name) {
  NewKey created;
  created.key.id = RandomHex(kIdDigits);
  created.key.name = name;
  created.key.salt = RandomHex(kSaltDigits);
  const std::string secret = RandomHex(kSecretDigits);
  const Digest digest = Sha256(created.key.salt, secret);
  created.key.hash = ToHex(digest.data(), digest.size());
  const std::time_t now = std::time(nullptr);
  std::tm utc{};
  gmtime_r(&now, &utc);
  created.key.created = fmt::format("{:04}-{:02}-{:02}", utc.tm_year + 1900, utc.tm_mon + 1, utc.tm_mday);
  created.presented = std::string(kPrefix) + created.key.id + "-" + secret;
  return created;
}

}  // namespace ryeglade::keys
