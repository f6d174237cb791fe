// The record of a rollout's rounds as a file, for `rollout report`.
#pragma once

#include <cstdio>
#include <string>

#include "rollout/report_model.h"

namespace ryeglade::rollout {

// Appends a line for each round in which something has changed, and every 5 s; bounded. A file that can't be
// written costs the record, never the rollout: it says so on stderr and goes on without.
class RecordFile {
 public:
  // Empty path: nothing is recorded. Throws std::runtime_error where the file can't be opened.
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  void Add(const RecordedRound& round);

 private:
  void CloseWith(const char* message);

  std::FILE* file_ = nullptr;  // null: nothing is recorded (any more)
  long size_ = 0;              // bytes
  std::string last_key_;       // what was worth a line the last time
  double last_at_ = 0;         // seconds, Unix time
};

}  // namespace ryeglade::rollout
