// The leases of a node's processes: two small files in $TMPDIR, each held by one living process (a lock that
// the kernel drops with it). What a process says of itself stands in its own. Calls touch the page cache
// only.
#pragma once

#include <string>

#include "hot_restart/hot_restart_policy.h"

namespace ryeglade::hot_restart {

class LeaseFile {
 public:
  // `path`: without the number of the place. Takes the first place that is free.
  explicit LeaseFile(const std::string& path);
  ~LeaseFile();
  LeaseFile(const LeaseFile&) = delete;
  LeaseFile& operator=(const LeaseFile&) = delete;

  bool held() const { return mine_ >= 0; }  // false: both places are taken, or there is no such directory
  Other Look();                             // at the other place
  void Say(const Lease& lease);

 private:
  int files_[2] = {-1, -1};
  int mine_ = -1;
};

}  // namespace ryeglade::hot_restart
