#include "ledger/ledger_file.h"

#include <cctype>
#include <cerrno>
#include <cstring>
#include <optional>
#include <stdexcept>
#include <utility>

#include "base/log.h"

namespace ryeglade::ledger {
namespace {

constexpr mode_t kFileMode = 0640;
// Each waits for a while until other processes have written.
constexpr int kLastWriteAttempts = 5;

std::string LedgerPath(const std::string& directory, const std::string& node) {
  if (directory.empty()) return "";
  std::string path = directory + "/ledger-";
  for (const char c : node.empty() ? std::string("node") : node) {
    path += std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' ? c : '_';
  }
  return path + ".json";
}

// A file that is no ledger is replaced.
Counts DecodeOrEmpty(const std::optional<std::string>& text) {
  if (!text) return {};
  try {
    return CountsFromJson(*text);
  } catch (const std::runtime_error&) {
    return {};
  }
}

}  // namespace

LedgerFile::LedgerFile(uv_loop_t* loop, const std::string& directory, std::string node)
    : node_(std::move(node)),
      file_(
          loop, LedgerPath(directory, node_), [](const std::string&) {}, kFileMode) {}

StateFile::Change LedgerFile::AddTo(const Counts& counts, std::int64_t unix_ms) const {
  return [added = counts.Since(written_), node = node_, unix_ms](const std::optional<std::string>& current) {
    Counts sum = DecodeOrEmpty(current);
    sum.Add(added);
    return ToJson(sum, node, unix_ms);
  };
}

void LedgerFile::Write(const Counts& counts, std::int64_t unix_ms) {
  if (!enabled() || busy_) return;
  busy_ = true;
  file_.Update(AddTo(counts, unix_ms), [this, counts](const StateFile::UpdateResult& result) {
    busy_ = false;
    OnWritten(counts, result);
  });
}

bool LedgerFile::WriteNow(const Counts& counts, std::int64_t unix_ms) {
  if (!enabled()) return true;
  StateFile::UpdateResult result;
  for (int attempt = 0; attempt < kLastWriteAttempts; ++attempt) {
    result = file_.UpdateNow(AddTo(counts, unix_ms));
    if (result.error.error != EAGAIN) break;
  }
  return OnWritten(counts, result);
}

bool LedgerFile::OnWritten(const Counts& counts, const StateFile::UpdateResult& result) {
  if (result.error.error == 0) {
    written_ = counts;
    return true;
  }
  ++failures_;
  Log(Level::kWarn, "ledger-not-written", {{"path", path()}, {"why", std::strerror(result.error.error)}});
  return false;
}

}  // namespace ryeglade::ledger
