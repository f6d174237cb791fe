// A file that is only ever replaced as a whole: tells whether it has been replaced since it was last read.
// All functions block on the disk.
#pragma once

#include <sys/stat.h>

#include <optional>
#include <string>

namespace ryeglade {

// Keeps the version that was read last open: as long as it is, no other version can have its inode number, so
// that no replacement goes unnoticed.
class ReplacedFile {
 public:
  explicit ReplacedFile(std::string path) : path_(std::move(path)) {}
  ~ReplacedFile();
  ReplacedFile(const ReplacedFile&) = delete;
  ReplacedFile& operator=(const ReplacedFile&) = delete;

  // Reads the file. Sets `text` to nullopt if there is none. A text of over kMaxBytes is read as empty.
  // Returns 0, or an errno value if the file can't be read.
  int Read(std::optional<std::string>* text);
  // Makes IsReplaced return true until the next Read.
  void Forget() { Hold(-1); }
  // Whether the file may have another text than at the last Read; false if there is no file.
  bool IsReplaced() const;

 private:
  static constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

  void Hold(int fd);

  std::string path_;
  int held_ = -1;  // descriptor of the version that was read last; -1: none
  struct stat version_ {};
};

// Locks a file against other processes, which must lock it as well, until it is destroyed. The kernel
// releases the lock when the process ends.
class FileLock {
 public:
  // Creates the file if need be. Waits at most `timeout_ms`.
  FileLock(const std::string& path, int timeout_ms);
  ~FileLock();
  FileLock(const FileLock&) = delete;
  FileLock& operator=(const FileLock&) = delete;

  int error() const { return error_; }  // 0, or an errno value if the file is not locked

 private:
  int fd_ = -1;
  int error_ = 0;
};

}  // namespace ryeglade
