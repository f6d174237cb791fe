#include "base/state_file.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr mode_t kMode = 0600;
// How long an update waits for another process's. Callers of an update wait for up to two of them.
constexpr int kLockTimeoutMs = 200;

}  // namespace

// One operation on the file in a background thread: a write, several updates, or a check.
struct StateFile::Job {
  uv_work_t work{};
  StateFile* file = nullptr;
  std::optional<std::string> write;    // what is written
  std::vector<PendingUpdate> updates;  // made if nothing is written
  std::optional<std::string> text;     // what was read; for updates: what the file holds
  FileError error;                     // of the write or the updates
};

StateFile::StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed)
    : loop_(loop), path_(std::move(path)), changed_(std::move(changed)), file_(path_) {}

StateFile::~StateFile() = default;

std::optional<std::string> StateFile::ReadNow() {
  std::optional<std::string> text;
  if (!enabled() || file_.Read(&text) != 0) return std::nullopt;
  if (text) last_read_ = text;
  return text;
}

void StateFile::Write(std::string text) {
  if (!enabled()) return;
  last_written_ = text;
  last_read_.reset();
  pending_write_ = std::move(text);
  StartJob();
}

void StateFile::Update(Change change, UpdateDone done) {
  if (!enabled()) return done({{ENOENT, "has no path"}, std::nullopt});
  pending_updates_.push_back({std::move(change), std::move(done)});
  StartJob();
}

void StateFile::StartJob() {
  const bool work_due = pending_write_ || !pending_updates_.empty() || check_due_;
  if (job_running_ || !work_due) return;
  Job* job = new Job;
  job->work.data = job;
  job->file = this;
  if (pending_write_) {
    job->write = std::exchange(pending_write_, std::nullopt);
  } else if (!pending_updates_.empty()) {
    job->updates = std::exchange(pending_updates_, {});
  } else {
    check_due_ = false;
  }
  job_running_ = true;
  const int queued = uv_queue_work(
      loop_, &job->work,
      [](uv_work_t* w) {
        Job* j = static_cast<Job*>(w->data);
        j->file->RunJob(*j);
      },
      [](uv_work_t* w, int) {
        Job* j = static_cast<Job*>(w->data);
        j->file->OnJobDone(*j);
        delete j;
      });
  if (queued != 0) {
    job->error = {ENOMEM, "cannot be queued"};
    OnJobDone(*job);
    delete job;
  }
}

// In the background thread.
void StateFile::RunJob(Job& job) {
  if (job.write) {
    job.error = ReplaceFile(path_, *job.write, kMode);
  } else if (!job.updates.empty()) {
    RunUpdates(job);
  } else if (file_.IsReplaced()) {
    file_.Read(&job.text);  // after a failure the next check tries again
  }
}

void StateFile::RunUpdates(Job& job) {
  const FileLock lock(path_ + ".lock", kLockTimeoutMs);
  if (lock.error() != 0) {
    job.error = {lock.error(), "cannot be locked"};
    return;
  }
  if (const int error = file_.Read(&job.text); error != 0) {
    job.error = {error, "cannot be read"};
    return;
  }
  bool is_changed = false;
  for (const PendingUpdate& update : job.updates) {
    std::optional<std::string> next = update.change(job.text);
    if (!next) continue;
    job.text = std::move(next);
    is_changed = true;
  }
  if (is_changed) job.error = ReplaceFile(path_, *job.text, kMode);
}

void StateFile::OnJobDone(Job& job) {
  job_running_ = false;
  if (job.error.error != 0) {
    Log(Level::kWarn, "state-not-written",
        {{"path", path_}, {"step", job.error.what}, {"why", std::strerror(job.error.error)}});
  }
  if (job.updates.empty()) {
    if (!job.write && job.text) OnTextRead(*job.text);
  } else {
    if (job.error.error == 0) last_read_ = job.text;
    for (const PendingUpdate& update : job.updates) update.done({job.error, job.text});
  }
  StartJob();
}

void StateFile::OnTextRead(const std::string& text) {
  if (text == last_written_ || text == last_read_) return;
  last_read_ = text;
  if (check_timer_ != nullptr) changed_(text);
}

void StateFile::Watch(unsigned interval_ms) {
  if (!enabled() || check_timer_ != nullptr) return;
  check_timer_ = new uv_timer_t;
  uv_timer_init(loop_, check_timer_);
  check_timer_->data = this;
  uv_timer_start(
      check_timer_,
      [](uv_timer_t* timer) {
        StateFile* file = static_cast<StateFile*>(timer->data);
        file->check_due_ = true;
        file->StartJob();
      },
      0, interval_ms);
}

void StateFile::Close() {
  check_due_ = false;
  if (check_timer_ == nullptr) return;
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(check_timer_, nullptr)),
           [](uv_handle_t* handle) { delete reinterpret_cast<uv_timer_t*>(handle); });
}

}  // namespace ryeglade
