// Reads files, and replaces them atomically: a reader sees either the old or the new contents.
#pragma once

#include <sys/types.h>

#include <string>

namespace ryeglade {

// The step of writing a file that failed, and the error.
struct FileError {
  int error = 0;          // errno value; 0 if the file was written
  const char* what = "";  // the failed step as text for a message
};

// Returns what can be read of a file, or an empty string if it cannot be read. The file may disappear while
// it is read, as a process's files under /proc do. Blocks on the disk.
std::string ReadFileIfPresent(const std::string& path);

// Replaces the file atomically by way of a temporary file beside it. Blocks on the disk.
FileError ReplaceFile(const std::string& path, const std::string& text, mode_t mode);

}  // namespace ryeglade
