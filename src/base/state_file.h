// A small file in $TMPDIR that the processes of a node share. It is only ever replaced as a whole, atomically
// and in a background thread, and checked for replacements by other processes. The loop never blocks on it.
#pragma once

#include <sys/types.h>
#include <uv.h>

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/file_io.h"
#include "base/replaced_file.h"

namespace ryeglade {

// Reads and writes the file in the background, one operation at a time.
//
// A file that only one process writes at a time is given whole texts by Write. A file that several processes
// change is changed by Update only: an update reads the file, changes what it has read and replaces the file,
// all while it holds the file's lock, so that the updates of all processes have one order and none is lost.
class StateFile {
 public:
  static constexpr mode_t kPrivate = 0600;

  // Returns the text that replaces `current`, or nullopt to leave it. `current` is nullopt if there is no
  // file. Runs in a background thread.
  using Change = std::function<std::optional<std::string>(const std::optional<std::string>& current)>;

  // The end of an update.
  struct UpdateResult {
    FileError error;                  // of the step that failed; the file is unchanged then
    std::optional<std::string> text;  // what the file holds; nullopt if there is none, or with an error
  };
  using UpdateDone = std::function<void(const UpdateResult&)>;

  // If `path` is empty, the file is disabled. `changed` is called on the loop with the complete text of the
  // file when another process has replaced it.
  StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed,
            mode_t mode = kPrivate);
  StateFile(const StateFile&) = delete;
  StateFile& operator=(const StateFile&) = delete;
  bool enabled() const { return !path_.empty(); }
  const std::string& path() const { return path_; }

  // Returns the current text, or nullopt if there is no file or it cannot be opened. Blocks on the disk; to
  // be called while no operation runs in the background.
  std::optional<std::string> ReadNow();
  // Writes in the background. If further texts are given before a write has finished, only the latest of them
  // is written. A failure is logged.
  void Write(std::string text);
  // Changes the text in the background. `done` is called on the loop once the file has been replaced, or with
  // an error. Updates that wait are made together, in the order of the calls.
  void Update(Change change, UpdateDone done);
  // The same at once. Blocks on the disk and on other processes' updates; to be called while no operation
  // runs in the background.
  UpdateResult UpdateNow(const Change& change);
  // Checks the file at this interval, first at once: `changed` is called if another process has replaced it
  // since it was last read.
  void Watch(unsigned interval_ms);
  void Close();  // stops checking; a write or an update in progress is still completed

 private:
  struct Job;
  struct PendingUpdate {
    Change change;
    UpdateDone done;
  };
  void StartJob();
  void RunJob(Job& job);
  UpdateResult RunUpdates(const std::vector<PendingUpdate>& updates);
  void OnJobDone(Job& job);
  void OnTextRead(const std::string& text);

  uv_loop_t* loop_;
  std::string path_;
  mode_t mode_;
  std::function<void(const std::string&)> changed_;
  ReplacedFile file_;  // used by the running job, or by the loop while none runs
  bool job_running_ = false;
  bool check_due_ = false;
  std::optional<std::string> pending_write_;
  std::vector<PendingUpdate> pending_updates_;
  std::optional<std::string> last_written_;  // by Write of this process
  std::optional<std::string> last_read_;     // since that write
  uv_timer_t* check_timer_ = nullptr;        // nullptr: not watching
};

}  // namespace ryeglade
