// A file that is replaced whole: whoever reads it sees the old one or the new one, never a part.
#pragma once

#include <sys/types.h>

#include <string>

namespace ryeglade {

// Which step of writing a file failed, and how.
struct FileError {
  int error = 0;          // errno; 0: none
  const char* what = "";  // which step failed, in words
};

// What can be read of a file; empty where it can't be read, also when it goes away while it is read, as a
// process's files under /proc do. Waits for the disk.
std::string ReadFileIfPresent(const std::string& path);

// Waits for the disk.
FileError ReplaceFile(const std::string& path, const std::string& text, mode_t mode);

}  // namespace ryeglade
