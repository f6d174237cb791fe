// Reads flight records from disk in order, in bounded memory, and tells what was lost. With `reasons`,
// records whose decisions came without reasons are run again to find them.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "timeline/block.h"
#include "timeline/flight_record_codec.h"

namespace ryeglade::timeline {

struct ReadTotals {
  ReadReport report;
  std::uint64_t files = 0, records = 0, unreadable_blocks = 0;  // blocks whose records could not be read
  std::uint64_t bytes = 0;
  std::string Losses() const;  // lines in words; empty: none
};

// The .flight files of paths that are files or directories, in the order of their names, which is the order
// of time for one node. Throws std::runtime_error if there are none.
std::vector<std::string> FlightFiles(const std::vector<std::string>& paths);

// The time of a file's first record that has one; reads no further. 0: none.
Time FirstTime(const std::string& file);

// Holes of any kind reach the sink as a Gap. Throws std::runtime_error naming the file that is no record.
ReadTotals ReadFlight(const std::vector<std::string>& files, const std::function<void(const Record&)>& sink,
                      const std::function<void(std::size_t file, std::size_t of)>& progress = nullptr);

// The same with a ReasonRecord behind each decision that has a reason, whether the record kept it or a replay
// tells it.
ReadTotals ReadWithReasons(const std::vector<std::string>& files,
                           const std::function<void(const Record&)>& sink,
                           const std::function<void(std::size_t file, std::size_t of)>& progress = nullptr);

}  // namespace ryeglade::timeline
