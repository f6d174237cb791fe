#include "ledger/ledger_file.h"

#include <cctype>
#include <cstring>
#include <utility>

#include "base/file_io.h"
#include "base/log.h"

namespace ryeglade::ledger {
namespace {

constexpr mode_t kFileMode = 0640;

}  // namespace

LedgerFile::LedgerFile(uv_loop_t* loop, std::string directory, const std::string& node) : loop_(loop) {
  if (directory.empty()) return;
  path_ = std::move(directory) + "/ledger-";
  for (const char c : node.empty() ? std::string("node") : node) {
    path_ += std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' ? c : '_';
  }
  path_ += ".json";
}

void LedgerFile::Write(std::string text) {
  if (!enabled() || busy_) return;
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
        j->error = ReplaceFile(j->path, j->text, kFileMode).error;
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
  if (!enabled()) return true;
  const int error = ReplaceFile(path_, text, kFileMode).error;
  if (error != 0) {
    ++failures_;
    Log(Level::kWarn, "ledger-not-written", {{"path", path_}, {"why", std::strerror(error)}});
  }
  return error == 0;
}

}  // namespace ryeglade::ledger
