// The lease files of a node's processes: two small files in $TMPDIR, each locked by at most one process. The
// kernel releases the lock when the process ends. A process writes its lease into the file that it has locked
// and reads its sibling's lease from the other. Reads and writes only touch the page cache, so they do
// not block the event loop.
#pragma once

#include <string>

#include "hot_restart/hot_restart_policy.h"

namespace ryeglade::hot_restart {

// Holds the lock of its file until it is destroyed.
class LeaseFile {
 public:
  // Opens `path`-0 and `path`-1 and locks the first one that is not locked.
  explicit LeaseFile(const std::string& path);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  bool is_holder() const { return own_ >= 0; }  // false: others have locked both, or none can be opened
  Sibling ReadSibling() const;                  // the process that has locked the other file
  void Write(const Lease& lease);               // no effect unless is_holder()

 private:
  static constexpr int kFiles = 2;

  int files_[kFiles] = {-1, -1};  // descriptors; -1: not open
  int own_ = -1;                  // index of the file that this process has locked; -1: none
};

}  // namespace ryeglade::hot_restart
