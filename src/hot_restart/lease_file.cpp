#include "hot_restart/lease_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>

namespace ryeglade::hot_restart {
namespace {

constexpr std::size_t kSize = 256;  // of what a process says, padded

struct flock Whole(short type) {
  struct flock lock {};
  lock.l_type = type;
  lock.l_whence = SEEK_SET;
  return lock;
}

}  // namespace

LeaseFile::LeaseFile(const std::string& path) {
  for (int i = 0; i < 2 && !path.empty(); ++i) {
    files_[i] = open((path + "-" + std::to_string(i)).c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    struct flock lock = Whole(F_WRLCK);
    if (mine_ < 0 && files_[i] >= 0 && fcntl(files_[i], F_OFD_SETLK, &lock) == 0) mine_ = i;
  }
}

LeaseFile::~LeaseFile() {
  for (const int fd : files_) {
    if (fd >= 0) close(fd);
  }
}

Other LeaseFile::Look() {
  Other other;
  if (!held() || files_[1 - mine_] < 0) return other;
  const int fd = files_[1 - mine_];
  struct flock lock = Whole(F_WRLCK);
  // Asks only: nothing is taken, so that a process that starts now finds the place free.
  if (fcntl(fd, F_OFD_GETLK, &lock) != 0 || lock.l_type == F_UNLCK) return other;
  other.alive = true;
  char text[kSize];
  const ssize_t n = pread(fd, text, sizeof text, 0);
  if (n > 0) other.said = DecodeLease({text, static_cast<std::size_t>(n)});
  return other;
}

void LeaseFile::Say(const Lease& lease) {
  if (!held()) return;
  std::string text = EncodeLease(lease);
  text.resize(std::max(kSize, text.size()), '\n');
  // One that is not written whole fails its checksum; the next comes soon.
  [[maybe_unused]] const ssize_t n = pwrite(files_[mine_], text.data(), text.size(), 0);
}

}  // namespace ryeglade::hot_restart
