// Makes a system call fail or take long in the nodes under test, by a preloaded library (fault_library.cpp).
#pragma once
#undef NDEBUG

#include <unistd.h>

#include <cassert>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <string>

namespace scripted {

inline std::string library;  // path of the library, from the command line

// While an object of this class exists, every node that is started has the fault, written as
// fault_library.cpp says.
class Preloaded {
 public:
  explicit Preloaded(const std::string& fault) {
    assert(close(mkstemp(counts_)) == 0);
    setenv("LD_PRELOAD", library.c_str(), 1);
    setenv("RYEGLADE_TEST_FAULT", fault.c_str(), 1);
    setenv("RYEGLADE_TEST_FAULT_COUNT", counts_, 1);
  }
  Preloaded(const Preloaded&) = delete;
  Preloaded& operator=(const Preloaded&) = delete;
  ~Preloaded() {
    for (const char* name : {"LD_PRELOAD", "RYEGLADE_TEST_FAULT", "RYEGLADE_TEST_FAULT_COUNT"})
      unsetenv(name);
    std::remove(counts_);
  }
  // Number of calls that have failed or been delayed so far.
  int failures() const {
    std::ifstream in(counts_);
    int n = 0;
    in >> n;
    return n;
  }

 private:
  char counts_[40] = "/tmp/ryeglade-fault-count-XXXXXX";
};

}  // namespace scripted
