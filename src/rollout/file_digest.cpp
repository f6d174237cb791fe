#include "rollout/file_digest.h"

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>
#include <xxhash.h>

#include <cstdio>
#include <stdexcept>
#include <vector>

namespace ryeglade::rollout {
namespace {

constexpr std::size_t kReadBytes = std::size_t{1} << 20;

}  // namespace

std::string FileDigest(const std::string& path) {
  const int fd = open(path.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) throw std::runtime_error("cannot open " + path + "; check that it exists and is readable");
  XXH3_state_t* state = XXH3_createState();
  XXH3_64bits_reset(state);
  std::vector<char> buffer(kReadBytes);
  ssize_t length = 0;
  while ((length = read(fd, buffer.data(), buffer.size())) > 0)
    XXH3_64bits_update(state, buffer.data(), static_cast<std::size_t>(length));
  close(fd);
  const auto digest = static_cast<unsigned long long>(XXH3_64bits_digest(state));
  XXH3_freeState(state);
  if (length < 0) throw std::runtime_error("cannot read " + path);
  char text[17];
  std::snprintf(text, sizeof text, "%016llx", digest);
  return text;
}

std::string FileDigestCache::Digest(const std::string& path) {
  struct stat file {};
  if (stat(path.c_str(), &file) != 0)
    throw std::runtime_error("cannot find " + path + "; check that it exists and can be reached");
  const FileIdentity identity{static_cast<std::int64_t>(file.st_dev), static_cast<std::int64_t>(file.st_ino),
                              file.st_size, file.st_mtim.tv_sec, file.st_mtim.tv_nsec};
  Entry& entry = entries_[path];
  if (entry.digest.empty() || entry.identity != identity) entry = {identity, FileDigest(path)};
  return entry.digest;
}

}  // namespace ryeglade::rollout
