#include "base/replaced_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <thread>

namespace ryeglade {
namespace {

constexpr mode_t kLockMode = 0600;
constexpr std::chrono::milliseconds kLockRetryInterval{2};

// Returns 0 or an errno value.
int ReadToEnd(int fd, std::size_t max_bytes, std::string* text) {
  char piece[65536];
  for (;;) {
    const ssize_t n = read(fd, piece, sizeof piece);
    if (n == 0) return 0;
    if (n < 0 && errno == EINTR) continue;
    if (n < 0) return errno;
    text->append(piece, static_cast<std::size_t>(n));
    if (text->size() > max_bytes) {
      text->clear();
      return 0;
    }
  }
}

bool SameVersion(const struct stat& a, const struct stat& b) {
  return a.st_dev == b.st_dev && a.st_ino == b.st_ino && a.st_size == b.st_size &&
         a.st_mtim.tv_sec == b.st_mtim.tv_sec && a.st_mtim.tv_nsec == b.st_mtim.tv_nsec;
}

}  // namespace

ReplacedFile::~ReplacedFile() { Hold(-1); }

void ReplacedFile::Hold(int fd) {
  if (held_ >= 0) close(held_);
  held_ = fd;
}

int ReplacedFile::Read(std::optional<std::string>* text) {
  text->reset();
  const int fd = open(path_.c_str(), O_RDONLY | O_CLOEXEC);
  if (fd < 0) return errno == ENOENT ? 0 : errno;
  struct stat version {};
  std::string content;
  int error = fstat(fd, &version) == 0 ? 0 : errno;
  if (error == 0) error = ReadToEnd(fd, kMaxBytes, &content);
  if (error != 0) {
    close(fd);
    return error;
  }
  Hold(fd);
  version_ = version;
  *text = std::move(content);
  return 0;
}

bool ReplacedFile::IsReplaced() const {
  struct stat current {};
  if (stat(path_.c_str(), &current) != 0) return false;
  return held_ < 0 || !SameVersion(current, version_);
}

FileLock::FileLock(const std::string& path, int timeout_ms) {
  fd_ = open(path.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, kLockMode);
  if (fd_ < 0) {
    error_ = errno;
    return;
  }
  const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);
  struct flock lock {};
  lock.l_type = F_WRLCK;
  lock.l_whence = SEEK_SET;
  while (fcntl(fd_, F_OFD_SETLK, &lock) != 0) {
    const bool held_by_other = errno == EAGAIN || errno == EACCES || errno == EINTR;
    if (!held_by_other || std::chrono::steady_clock::now() >= give_up_at) {
      error_ = errno;
      return;
    }
    std::this_thread::sleep_for(kLockRetryInterval);
  }
}

FileLock::~FileLock() {
  if (fd_ >= 0) close(fd_);
}

}  // namespace ryeglade
