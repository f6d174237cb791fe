// Digests of files. Supervisors use them to make sure that a release is the same on every node.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace ryeglade::rollout {

// Reads the whole file and returns the 64-bit XXH3 of its bytes as 16 hexadecimal digits. Throws
// std::runtime_error naming the file if it can't be read.
std::string FileDigest(const std::string& path);

// Caches digests by path. A file is read again only if its device, inode, size or modification time has
// changed.
class FileDigestCache {
 public:
  // Throws std::runtime_error naming the file if it can't be read.
  std::string Digest(const std::string& path);

 private:
  // Device, inode, size in bytes, and modification time in seconds and nanoseconds.
  using FileIdentity = std::array<std::int64_t, 5>;
  struct Entry {
    FileIdentity identity{};
    std::string digest;  // empty: not computed yet
  };
  std::map<std::string, Entry> entries_;
};

}  // namespace ryeglade::rollout
