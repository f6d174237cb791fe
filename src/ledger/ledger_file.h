// Writes the ledger to disk: one JSON file per node, replaced atomically at a fixed interval and at shutdown.
// All processes of a node add to it what they have counted since they last did, so that it holds the sum over
// the processes. If the disk is full or read-only, the file is not written, and no request is affected.
#pragma once

#include <uv.h>

#include <cstdint>
#include <string>

#include "base/state_file.h"
#include "ledger/ledger_model.h"

namespace ryeglade::ledger {

class LedgerFile {
 public:
  // An empty directory disables the file. The file's name contains `node`, with '_' in place of characters
  // other than letters, digits, '-' and '_'.
  LedgerFile(uv_loop_t* loop, const std::string& directory, std::string node);
  bool enabled() const { return file_.enabled(); }
  const std::string& path() const { return file_.path(); }  // empty if the file is disabled
  // Adds, in the background, what `counts` has more than at the last time. Does nothing while an earlier
  // write is still in progress.
  void Write(const Counts& counts, std::int64_t unix_ms);
  // Returns whether the file has all of `counts`.
  bool Holds(const Counts& counts) const { return counts == written_; }
  // As Write, but blocks until the file is written; used at shutdown. Returns false if the write failed, and
  // true if the file is disabled.
  bool WriteNow(const Counts& counts, std::int64_t unix_ms);
  unsigned long failures() const { return failures_; }  // failed writes

 private:
  StateFile::Change AddTo(const Counts& counts, std::int64_t unix_ms) const;
  bool OnWritten(const Counts& counts, const StateFile::UpdateResult& result);

  std::string node_;
  StateFile file_;
  Counts written_;     // the counts of this process that the file has
  bool busy_ = false;  // a background write is in progress
  unsigned long failures_ = 0;
};

}  // namespace ryeglade::ledger
