#include "ledger/ledger_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cctype>
#include <cerrno>
#include <cstdio>
#include <cstring>
#include <utility>

#include "base/log.h"

namespace ryeglade::ledger {

LedgerFile::LedgerFile(uv_loop_t* loop, std::string directory, const std::string& node) : loop_(loop) {
  if (directory.empty()) return;
  path_ = std::move(directory) + "/ledger-";
  for (const char c : node.empty() ? std::string("node") : node) {
    path_ += std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' ? c : '_';
  }
  path_ += ".json";
}

// Guards against a torn file: whoever reads it sees the old one or the new one.
int LedgerFile::Put(const std::string& path, const std::string& text) {
  const std::string fresh = path + ".new";
  const int fd = open(fresh.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0640);
  if (fd < 0) return errno;
  int error = 0;
  for (std::size_t at = 0; at < text.size() && error == 0;) {
    const ssize_t n = write(fd, text.data() + at, text.size() - at);
    if (n < 0 && errno != EINTR) error = errno;
    if (n > 0) at += static_cast<std::size_t>(n);
  }
  if (error == 0 && fsync(fd) != 0) error = errno;
  close(fd);
  if (error == 0 && std::rename(fresh.c_str(), path.c_str()) != 0) error = errno;
  if (error != 0) unlink(fresh.c_str());
  return error;
}

void LedgerFile::Write(std::string text) {
  if (!on() || busy_) return;
  busy_ = true;
  Job* job = new Job;
  job->work.data = job;
  job->file = this;
  job->path = path_;
  job->text = std::move(text);
  const int queued = uv_queue_work(
      loop_, &job->work,
      [](uv_work_t* w) {
        Job* j = static_cast<Job*>(w->data);
        j->error = Put(j->path, j->text);
      },
      [](uv_work_t* w, int) {
        Job* j = static_cast<Job*>(w->data);
        j->file->busy_ = false;
        if (j->error != 0) {
          ++j->file->failures_;
          Log(Level::kWarn, "ledger-not-written", {{"path", j->path}, {"why", std::strerror(j->error)}});
        }
        delete j;
      });
  if (queued != 0) {
    busy_ = false;
    delete job;
  }
}

bool LedgerFile::WriteNow(const std::string& text) {
  if (!on()) return true;
  const int error = Put(path_, text);
  if (error != 0) {
    ++failures_;
    Log(Level::kWarn, "ledger-not-written", {{"path", path_}, {"why", std::strerror(error)}});
  }
  return error == 0;
}

}  // namespace ryeglade::ledger
