// The ledger on disk: one JSON file a node, replaced whole on a period and at the end. Written off the loop's
// thread; a disk that is full or read-only costs the file, never a request.
#pragma once

#include <uv.h>

#include <string>

#include "ledger/ledger_model.h"

namespace ryeglade::ledger {

class LedgerFile {
 public:
  // An empty directory turns it off.
  LedgerFile(uv_loop_t* loop, std::string directory, const std::string& node);
  bool enabled() const { return !path_.empty(); }
  const std::string& path() const { return path_; }
  void Write(std::string text);  // in the background; passed over while the last one is still being written
  bool WriteNow(const std::string& text);  // waits; for the program's end
  unsigned long failures() const { return failures_; }

 private:
  struct Job {
    uv_work_t work{};
    LedgerFile* file = nullptr;
    std::string path, text;
    int error = 0;
  };

  uv_loop_t* loop_;
  std::string path_;
  bool busy_ = false;
  unsigned long failures_ = 0;
};

}  // namespace ryeglade::ledger
