#include "hot_restart/lease_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace ryeglade::hot_restart {
namespace {

constexpr std::size_t kLeaseBytes = 256;  // a lease is padded with newlines to this size

struct flock WholeFileLock() {
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  return lock;
}

}  // namespace

LeaseFile::LeaseFile(const std::string& path) {
  if (path.empty()) return;
  for (int i = 0; i < kFiles; ++i) {
    files_[i] = open((path + "-" + std::to_string(i)).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (own_ >= 0 || files_[i] < 0) continue;
    struct flock lock = WholeFileLock();
    if (fcntl(files_[i], F_OFD_SETLK, &lock) == 0) own_ = i;
  }
}

LeaseFile::~LeaseFile() {
  for (const int fd : files_) {
    if (fd >= 0) close(fd);
  }
}

Sibling LeaseFile::ReadSibling() const {
  Sibling sibling;
  if (!is_holder() || files_[1 - own_] < 0) return sibling;
  const int fd = files_[1 - own_];
  struct flock lock = WholeFileLock();
  // Only queries the lock: taking it could make a process that starts now find the file locked.
  if (fcntl(fd, F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK) return sibling;
  sibling.alive = true;
  char text[kLeaseBytes];
  const ssize_t read = pread(fd, text, sizeof text, 0);
  if (read > 0) sibling.lease = DecodeLease({text, static_cast<std::size_t>(read)});
  return sibling;
}

void LeaseFile::Write(const Lease& lease) {
  if (!is_holder()) return;
  std::string text = EncodeLease(lease);
  text.resize(std::max(kLeaseBytes, text.size()), '\n');
  // A partly written lease fails its checksum, and the next heartbeat replaces it.
  [[maybe_unused]] const ssize_t written = pwrite(files_[own_], text.data(), text.size(), 0);
}

}  // namespace ryeglade::hot_restart
