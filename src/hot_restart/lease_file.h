// The leases of a node's processes: two small files in $TMPDIR, each locked by one living process (a lock
// that the kernel releases with it). A process writes its lease into the file that it has locked and reads
// its sibling's in the other. Calls touch the page cache only.
#pragma once

#include <string>

#include "hot_restart/hot_restart_policy.h"

namespace ryeglade::hot_restart {

class LeaseFile {
 public:
  // `path`: without the number of the file. Locks the first of the two that is free.
  explicit LeaseFile(const std::string& path);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  bool is_holder() const { return own_ >= 0; }  // false: both are locked, or there is no such directory
  Sibling ReadSibling() const;                  // the holder of the other file
  void Write(const Lease& lease);

 private:
  static constexpr int kFiles = 2;

  int files_[kFiles] = {-1, -1};  // descriptors
  int own_ = -1;                  // index of the file that this process has locked
};

}  // namespace ryeglade::hot_restart
