// The file that a rollout's rounds are recorded in, for `rollout report`.
#pragma once

#include <cstdio>
#include <string>

#include "rollout/report_model.h"

namespace ryeglade::rollout {

// Appends a line for each round in which something has changed, and at least every 5 s, up to 64 MiB. If the
// file can't be written, recording ends with a message on stderr and the rollout continues.
class RecordFile {
 public:
  // Records nothing if the path is empty. Throws std::runtime_error if the file can't be opened.
  explicit RecordFile(const std::string& path);
  ~RecordFile();
  RecordFile(const RecordFile&) = delete;
  RecordFile& operator=(const RecordFile&) = delete;

  // Appends the round if its states differ from the last recorded one's, or if that is 5 s old.
  void Add(const RecordedRound& round);

 private:
  // Prints the message to stderr and ends the recording.
  void CloseWith(const char* message);

  std::FILE* file_ = nullptr;  // null: nothing is recorded, or recording has ended
  long size_ = 0;              // bytes
  std::string last_key_;       // the state of the last recorded round
  double last_at_ = 0;         // of the last recorded round; Unix time in seconds
};

}  // namespace ryeglade::rollout
