// Writes the ledger to disk: one JSON file per node, replaced atomically at a fixed interval and at shutdown.
// The file is written on a thread of libuv's pool; if the disk is full or read-only, the file is not written,
// and no request is affected.
#pragma once

#include <uv.h>

#include <string>

#include "ledger/ledger_model.h"

namespace ryeglade::ledger {

class LedgerFile {
 public:
  // An empty directory disables the file. The file's name contains `node`, with '_' in place of characters
  // other than letters, digits, '-' and '_'.
  LedgerFile(uv_loop_t* loop, std::string directory, const std::string& node);
  bool enabled() const { return !path_.empty(); }
  const std::string& path() const { return path_; }  // empty if the file is disabled
  // Writes in the background. Does nothing while an earlier write is still in progress.
  void Write(std::string text);
  // Blocks until the file is written; used at shutdown. Returns false if the write failed, and true if the
  // file is disabled.
  bool WriteNow(const std::string& text);
  unsigned long failures() const { return failures_; }  // failed writes

 private:
  struct Job {
    uv_work_t work{};
    LedgerFile* file = nullptr;
    std::string path, text;
    int error = 0;  // errno of the write; 0 if it succeeded
  };

  uv_loop_t* loop_;
  std::string path_;
  bool busy_ = false;  // a background write is in progress
  unsigned long failures_ = 0;
};

}  // namespace ryeglade::ledger
