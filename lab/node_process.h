// Runs a node as a child process, with its files in a temporary directory that the destructor removes.
#pragma once

#include <sys/types.h>

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace ryeglade::lab {

struct NodeFiles {
  std::string config;  // JSON as the platform passes it
  // TOML; @DIR@ stands for the directory and @KEYS@ for the key file. Empty: none.
  std::string settings;
  std::string keys;     // contents of the key file; empty: none
  std::string tmpdir;   // the node's $TMPDIR; empty: that of this program
  std::string preload;  // path of a library for LD_PRELOAD; empty: none
};

class NodeProcess {
 public:
  NodeProcess() = default;
  NodeProcess(const NodeProcess&) = delete;
  NodeProcess& operator=(const NodeProcess&) = delete;
  ~NodeProcess();

  // Starts `program serve` with its log in the file `log` of the directory. Throws std::runtime_error.
  void Start(const std::string& program, const NodeFiles& files);
  std::string Log() const;
  std::string LogFrom(std::size_t offset) const;  // the log without its first `offset` bytes
  const std::string& directory() const { return directory_; }
  bool IsRunning();
  void Signal(int number) const;
  // Sends SIGTERM and waits. Returns the exit code, or 128 plus the number of the signal that killed the
  // process.
  int Stop();
  int status() const;                                 // the same for a process that has ended
  void WriteConfig(const std::string& config) const;  // replaces the configuration, which SIGHUP reloads
  std::size_t OpenDescriptors() const;                // number of open file descriptors
  std::size_t PrivateBytes() const;                   // the same without the pages of files
  std::size_t ResidentBytes() const;                  // resident memory
  std::int64_t CpuWaitTime() const;  // microseconds for which it was runnable but had no core
  pid_t pid() const { return pid_; }

 private:
  std::string directory_;
  pid_t pid_ = -1;
  int status_ = 0;
};

// Returns a minimal configuration as the platform's JSON, with the classes `docs` and `agent`. `known` is the
// JSON of the endpoint list that the node starts with. The default objectives are generous.
std::string ConfigJson(const std::string& listen, const std::string& discovery, const std::string& known,
                       std::int64_t latency_objective_ms = 20'000, std::int64_t deadline_ms = 30'000,
                       const std::string& effect = "free");

}  // namespace ryeglade::lab
