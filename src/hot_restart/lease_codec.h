// The lease that each process of a node keeps up to date while it lives: which process it is, its phase, a
// heartbeat and its share of the node's limits. One line of text with a checksum. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

namespace ryeglade::hot_restart {

using Time = std::int64_t;  // microseconds, Unix time

// What a process does in the course of a hot restart.
enum class Phase : std::uint8_t {
  kStarting,     // waits for the state of the older process
  kServing,      // accepts clients
  kDraining,     // has handed its clients over and finishes the requests it accepted
  kTerminating,  // was told to end
};

struct Lease {
  std::int64_t pid = 0;  // of the process that writes the lease
  Time started_at = 0;   // when that process started; of two processes, the later one is the successor
  Phase phase = Phase::kStarting;
  std::uint64_t heartbeat = 0;   // incremented while the process's event loop runs
  std::size_t socket_limit = 0;  // descriptors that the process allows itself
  std::size_t memory_limit = 0;  // bytes of buffers that the process allows itself
};

// Returns one line with a checksum.
std::string EncodeLease(const Lease& lease);
// Returns nullopt if the text is truncated, corrupted or not a lease. Fields that are not known are ignored.
std::optional<Lease> DecodeLease(const std::string& text);

}  // namespace ryeglade::hot_restart
