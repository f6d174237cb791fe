#include "base/state_file.h"

#include <cstring>
#include <fstream>
#include <iterator>
#include <utility>

#include "base/file_io.h"
#include "base/log.h"

namespace ryeglade {
namespace {

constexpr mode_t kMode = 0600;
constexpr std::size_t kMaxBytes = std::size_t{4} * 1024 * 1024;

// Returns nullopt if the file cannot be opened or is larger than kMaxBytes.
std::optional<std::string> ReadAll(const std::string& path) {
  std::ifstream in(path, std::ios::binary);
  if (!in) return std::nullopt;
  std::string text;
  char piece[65536];
  while (in.read(piece, sizeof piece) || in.gcount() > 0) {
    text.append(piece, static_cast<std::size_t>(in.gcount()));
    if (text.size() > kMaxBytes) return std::nullopt;
  }
  return text;
}

}  // namespace

// One write or read of the file in a background thread.
struct StateFile::Job {
  uv_work_t work{};
  StateFile* file = nullptr;
  bool write = false;               // otherwise the job reads
  std::string text;                 // what is written
  std::optional<std::string> read;  // what was read; nullopt if that failed
  FileError error;                  // of the write
};

StateFile::StateFile(uv_loop_t* loop, std::string path, std::function<void(const std::string&)> changed)
    : loop_(loop), path_(std::move(path)), changed_(std::move(changed)) {}

std::optional<std::string> StateFile::ReadNow() const {
  if (!enabled()) return std::nullopt;
  return ReadAll(path_);
}

void StateFile::Write(std::string text) {
  if (!enabled()) return;
  last_ = text;
  pending_ = std::move(text);
  if (!job_running_) StartJob();
}

void StateFile::StartJob() {
  Job* job = new Job;
  job->work.data = job;
  job->file = this;
  job->write = pending_.has_value();
  if (job->write) job->text = *std::exchange(pending_, std::nullopt);
  job_running_ = true;
  const int queued = uv_queue_work(
      loop_, &job->work,
      [](uv_work_t* w) {
        Job* j = static_cast<Job*>(w->data);
        if (j->write) {
          j->error = ReplaceFile(j->file->path_, j->text, kMode);
        } else {
          j->read = ReadAll(j->file->path_);
        }
      },
      [](uv_work_t* w, int) {
        Job* j = static_cast<Job*>(w->data);
        j->file->OnJobDone(j);
      });
  if (queued != 0) {
    job_running_ = false;
    delete job;
  }
}

void StateFile::OnJobDone(Job* job) {
  job_running_ = false;
  if (job->write && job->error.error != 0) {
    Log(Level::kWarn, "state-not-written",
        {{"path", path_}, {"step", job->error.what}, {"why", std::strerror(job->error.error)}});
  }
  if (!job->write && job->read && *job->read != last_ && !pending_) {
    last_ = *job->read;
    if (polling_) changed_(last_);
  }
  delete job;
  if (pending_) StartJob();
}

void StateFile::Watch(unsigned interval_ms) {
  if (!enabled() || polling_) return;
  uv_fs_poll_init(loop_, &poll_);
  poll_.data = this;
  polling_ = true;
  uv_fs_poll_start(
      &poll_,
      [](uv_fs_poll_t* p, int status, const uv_stat_t*, const uv_stat_t*) {
        if (status == 0) static_cast<StateFile*>(p->data)->OnFileChanged();
      },
      path_.c_str(), interval_ms);
}

void StateFile::OnFileChanged() {
  if (!job_running_) StartJob();
}

void StateFile::Close() {
  if (!polling_) return;
  polling_ = false;
  uv_fs_poll_stop(&poll_);
  uv_close(reinterpret_cast<uv_handle_t*>(&poll_), nullptr);
}

}  // namespace ryeglade
