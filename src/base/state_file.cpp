#include "base/state_file.h"

#include <cerrno>
#include <cstring>
#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

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

StateFile::StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed,
                     mode_t mode)
    : loop_(loop), path_(std::move(path)), mode_(mode), changed_(std::move(changed)), file_(path_) {}

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
    job.error = ReplaceFile(path_, *job.write, mode_);
  } else if (!job.updates.empty()) {
    UpdateResult result = RunUpdates(job.updates);
    job.error = result.error;
    job.text = std::move(result.text);
  } else if (file_.IsReplaced()) {
    file_.Read(&job.text);  // after a failure the next check tries again
  }
}

StateFile::UpdateResult StateFile::RunUpdates(const std::vector<PendingUpdate>& updates) {
  UpdateResult result;
  const FileLock lock(path_ + ".lock", kLockTimeoutMs);
  if (lock.error() != 0) return {{lock.error(), "cannot be locked"}, std::nullopt};
  if (const int error = file_.Read(&result.text); error != 0)
    return {{error, "cannot be read"}, std::nullopt};
  bool is_changed = false;
  for (const PendingUpdate& update : updates) {
    std::optional<std::string> next = update.change(result.text);
    if (!next) continue;
    result.text = std::move(next);
    is_changed = true;
  }
  if (is_changed) result.error = ReplaceFile(path_, *result.text, mode_);
  if (result.error.error == 0) return result;
  file_.Forget();  // nobody has been told what was read here
  return {result.error, std::nullopt};
}

StateFile::UpdateResult StateFile::UpdateNow(const Change& change) {
  if (!enabled()) return {{ENOENT, "has no path"}, std::nullopt};
  return RunUpdates({{change, nullptr}});
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
