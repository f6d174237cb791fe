// A small file in $TMPDIR that one process hands to the next over a hot restart: replaced as a whole off the
// loop's thread, watched for what another process wrote into it. The loop never waits for it.
#pragma once

#include <uv.h>

#include <functional>
#include <optional>
#include <string>

namespace ryeglade {

// Reads and writes the file in the background, one job at a time.
class StateFile {
 public:
  // `path` empty: off. `changed` is called on the loop with all of the file's text when another writer has
  // replaced it.
  StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed);
  bool enabled() const { return !path_.empty(); }
  const std::string& path() const { return path_; }

  // At the start, before the loop runs: what is there now; null: nothing, or it can't be read.
  std::optional<std::string> ReadNow() const;
  void Write(std::string text);  // in the background; the latest text wins
  void Watch(unsigned interval_ms);
  void Close();

 private:
  struct Job;
  void StartJob();
  void OnJobDone(Job* job);
  void OnFileChanged();

  uv_loop_t* loop_;
  std::string path_;
  std::function<void(const std::string&)> changed_;
  bool job_running_ = false;
  std::optional<std::string> pending_;
  std::string last_;  // what this process last wrote or read: a change to anything else is another's
  uv_fs_poll_t poll_{};
  bool polling_ = false;
};

}  // namespace ryeglade
