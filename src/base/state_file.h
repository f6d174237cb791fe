// A small file in $TMPDIR that one process hands to the next on a hot restart. It is replaced atomically in a
// background thread and watched for changes by another process. The loop never blocks on it.
#pragma once

#include <uv.h>

#include <functional>
#include <optional>
#include <string>

namespace ryeglade {

// Reads and writes the file in the background, one operation at a time.
class StateFile {
 public:
  // If `path` is empty, the file is disabled. `changed` is called on the loop with the complete text of the
  // file when another process has replaced it.
  StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed);
  bool enabled() const { return !path_.empty(); }
  const std::string& path() const { return path_; }

  // Returns the current text, or nullopt if there is no file, it cannot be opened or it is larger than 4 MiB.
  // Blocks on the disk; to be called before the loop runs.
  std::optional<std::string> ReadNow() const;
  // Writes in the background. If further texts are given before a write has finished, only the latest of them
  // is written. A failure is logged.
  void Write(std::string text);
  void Watch(unsigned interval_ms);  // checks the file for changes at this interval
  void Close();                      // stops checking; a write in progress is still completed

 private:
  struct Job;
  void StartJob();
  void OnJobDone(Job* job);
  void OnFileChanged();

  uv_loop_t* loop_;
  std::string path_;
  std::function<void(const std::string&)> changed_;
  bool job_running_ = false;
  std::optional<std::string> pending_;  // the text to write next, if any
  std::string last_;  // what this process wrote or read last: any other text was written by another process
  uv_fs_poll_t poll_{};
  bool polling_ = false;
};

}  // namespace ryeglade
