// Makes a system call fail or take longer in the nodes under test, by a preloaded library
// (fault_library.cpp).
#pragma once
#undef NDEBUG

#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace scripted {

inline std::string fault_library_path;  // path of the library, from the command line

// While an object of this class exists, every node that is started has the fault, which is given in the
// format that fault_library.cpp describes. At most one object may exist at a time.
class PreloadedFault {
 public:
  explicit PreloadedFault(const std::string& fault) {
    assert(close(mkstemp(count_path_)) == 0);
    setenv("LD_PRELOAD", fault_library_path.c_str(), 1);
    setenv("RYEGLADE_TEST_FAULT", fault.c_str(), 1);
    setenv("RYEGLADE_TEST_FAULT_COUNT", count_path_, 1);
  }
  PreloadedFault(const PreloadedFault&) = delete;
  PreloadedFault& operator=(const PreloadedFault&) = delete;
  ~PreloadedFault() {
    for (const char* name : {"LD_PRELOAD", "RYEGLADE_TEST_FAULT", "RYEGLADE_TEST_FAULT_COUNT"})
      unsetenv(name);
    std::remove(count_path_);
  }
  // Number of calls that have failed or been delayed so far.
  int affected_calls() const {
    std::ifstream in(count_path_);
    int n = 0;
    in >> n;
    return n;
  }

 private:
  char count_path_[40] = "/tmp/ryeglade-fault-count-XXXXXX";
};

}  // namespace scripted
