// Reads flight records from disk in order and in bounded memory, and reports what was lost. ReadWithReasons
// also replays records that lack the reasons of their decisions, to determine them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "timeline/block.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

// What was read from all files.
struct ReadTotals {
  ReadReport report;  // summed over the files
  std::uint64_t files = 0, records = 0;
  std::uint64_t unreadable_blocks = 0;  // complete blocks that could not be decoded
  std::uint64_t bytes = 0;              // total size of the files
  std::string Losses() const;           // describes the losses in lines of text; empty if nothing was lost
};

// Returns the given files and the .flight files of the given directories. Files of one directory are in the
// order of their names, which for one node is the order of time. Throws std::runtime_error if the result is
// empty; does not check whether a given file exists.
std::vector<std::string> FlightFiles(const std::vector<std::string>& paths);

// Returns the time of the first record in the file that has a time, or 0 if there is none. Reads no further.
// Throws std::runtime_error if the file cannot be read or a block before that record cannot be decoded.
Time FirstTime(const std::string& file);

// Passes each record to `sink`, and a Gap wherever blocks are missing or unreadable. `progress`, if not null,
// is called before each file with its number and the number of files. Throws std::runtime_error that names
// the file if one cannot be read or is not a flight record.
ReadTotals ReadFlight(const std::vector<std::string>& files, const std::function<void(const Record&)>& sink,
                      const std::function<void(std::size_t file, std::size_t of)>& progress = nullptr);

// Like ReadFlight, with a ReasonRecord after each decision that has a reason. The reason is the recorded one
// or, if the node recorded none, that of a replay.
ReadTotals ReadWithReasons(const std::vector<std::string>& files,
                           const std::function<void(const Record&)>& sink,
                           const std::function<void(std::size_t file, std::size_t of)>& progress = nullptr);

}  // namespace ryeglade::timeline
