// Reads files, and replaces them atomically: a reader sees either the old or the new contents.
#pragma once

#include <sys/types.h>

#include <string>

namespace ryeglade {

// Which step of writing a file failed, and with which error.
struct FileError {
  int error = 0;          // errno value; 0 if the file was written
  const char* what = "";  // the failed step, for a message ("cannot be written"); only valid with an error
};

// Returns what can be read of a file, or an empty string if it cannot be read. The file may disappear while
// it is read, as a process's files under /proc do. Blocks on the disk.
std::string ReadFileIfPresent(const std::string& path);

// Replaces the file atomically: writes a temporary file in the same directory and renames it to `path`.
// `mode` gives the permissions of the new file. Blocks on the disk.
FileError ReplaceFile(const std::string& path, const std::string& text, mode_t mode);

}  // namespace ryeglade
