// A node as a process of its own, with files of its own in a directory that goes with it.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ryeglade::lab {

struct NodeFiles {
  std::string config;    // the platform's JSON
  std::string settings;  // TOML; empty: none
  std::string keys;      // the key file; empty: none. The settings name it as KEYS.
  std::string tmpdir;    // what the node sees as $TMPDIR; empty: this program's own
  std::string preload;   // a library for the process (LD_PRELOAD); empty: none
};

class NodeProcess {
 public:
  NodeProcess() = default;
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  // Starts `program serve`, its log to `log` in the directory. Throws std::runtime_error.
  void Start(const std::string& program, const NodeFiles& files);
  std::string Log() const;
  std::string LogFrom(std::size_t offset) const;  // what was written behind so many bytes
  const std::string& directory() const { return directory_; }
  bool IsRunning();  // false: it has ended
  void Signal(int number) const;
  int Stop();          // SIGTERM, and its exit code; 128 and more: it died of a signal
  int status() const;  // the same of one that has ended
  void Write(const std::string& config) const;  // the configuration that SIGHUP reads again
  std::size_t OpenDescriptors() const;          // open now
  std::size_t ResidentBytes() const;            // bytes of memory
  std::int64_t CpuWaitTime() const;             // microseconds for which it could have run and did not
  pid_t pid() const { return pid_; }

 private:
  std::string directory_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// A minimal configuration of the platform's JSON: two classes, `docs` and `agent`, by default with generous
// aims.
std::string ConfigJson(const std::string& listen, const std::string& discovery, const std::string& known,
                       std::int64_t latency_objective_ms = 20'000, std::int64_t deadline_ms = 30'000,
                       const std::string& effect = "free");

}  // namespace ryeglade::lab
