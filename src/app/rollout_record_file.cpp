#include "app/rollout_record_file.h"

#include <stdexcept>
#include <utility>

namespace ryeglade::rollout {
namespace {

constexpr long kMaxBytes = 64L << 20;
constexpr double kMaxIntervalSeconds = 5;  // a line is written after this time even if nothing has changed

}  // namespace

RecordFile::RecordFile(const std::string& path) {
  if (path.empty()) return;
  file_ = std::fopen(path.c_str(), "ae");
  if (file_ == nullptr)
    throw std::runtime_error("rollout: cannot write " + path + "; name another file with --record");
  std::fseek(file_, 0, SEEK_END);
  size_ = std::ftell(file_);
}

RecordFile::~RecordFile() {
  if (file_ != nullptr) std::fclose(file_);
}

void RecordFile::Add(const RecordedRound& round) {
  if (file_ == nullptr) return;
  std::string key = round.state + std::to_string(round.stage) + std::to_string(round.changing_nodes);
  for (const RecordedNode& node : round.nodes) key += node.state;
  if (key == last_key_ && round.at - last_at_ < kMaxIntervalSeconds) return;
  last_key_ = key;
  last_at_ = round.at;
  const std::string line = EncodeRound(round);
  size_ += static_cast<long>(line.size());
  if (size_ > kMaxBytes) return CloseWith("the record has reached 64 MiB and is closed");
  const bool written = std::fwrite(line.data(), 1, line.size(), file_) == line.size();
  if (!written || std::fflush(file_) != 0) CloseWith("the record can't be written and is closed");
}

void RecordFile::CloseWith(const char* message) {
  std::fprintf(stderr, "ryeglade: rollout: %s; the rollout continues\n", message);
  std::fclose(std::exchange(file_, nullptr));
}

}  // namespace ryeglade::rollout
