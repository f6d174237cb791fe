#include "base/file_io.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <fstream>
#include <string>

namespace ryeglade {

std::string ReadFileIfPresent(const std::string& path) {
  // Stream iterators would throw if a read fails.
  std::ifstream in(path, std::ios::binary);
  std::string text;
  char piece[4096];
  while (in.read(piece, sizeof piece) || in.gcount() > 0) {
    text.append(piece, static_cast<std::size_t>(in.gcount()));
  }
  return text;
}

FileError ReplaceFile(const std::string& path, const std::string& text, mode_t mode) {
  // The name contains the process id, because two processes of one node may replace the same file during a
  // hot restart.
  const std::string temporary_path = path + "." + std::to_string(getpid()) + ".new";
  FileError result{0, "cannot be written"};
  const int fd = open(temporary_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, mode);
  if (fd < 0) return {errno, result.what};
  for (std::size_t at = 0; at < text.size() && result.error == 0;) {
    const ssize_t n = write(fd, text.data() + at, text.size() - at);
    if (n < 0 && errno != EINTR) result.error = errno;
    if (n > 0) at += static_cast<std::size_t>(n);
  }
  if (result.error == 0 && fsync(fd) != 0) result.error = errno;
  close(fd);
  if (result.error == 0 && std::rename(temporary_path.c_str(), path.c_str()) != 0)
    result = {errno, "cannot be renamed into place"};
  if (result.error != 0) unlink(temporary_path.c_str());
  return result;
}

}  // namespace ryeglade
