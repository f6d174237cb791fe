// Digests of files, by which supervisors make sure that a release is the same on every node.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace ryeglade::rollout {

// XXH3 of a file's bytes, 16 hexadecimal digits. Reads the whole file. Throws std::runtime_error naming it.
std::string FileDigest(const std::string& path);

// Remembers digests: a file is read again only where device, inode, size or modification time has changed.
class FileDigestCache {
 public:
  // Throws std::runtime_error naming the file.
  std::string Digest(const std::string& path);

 private:
  using FileIdentity = std::array<std::int64_t, 5>;
  struct Entry {
    FileIdentity identity{};
    std::string digest;  // empty: not known yet
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace ryeglade::rollout
