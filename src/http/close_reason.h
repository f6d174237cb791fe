// Why the node closed a client's connection, for its log and its counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace ryeglade {

// Counted by reason; in the order of the counters' labels.
enum class CloseReason : std::uint8_t {
  kClientEnded,     // the client closed it, or it broke
  kIdle,            // nothing was owed, and the process ends or hands over
  kRequestTimeout,  // no request came in the time that a connection has
  kEvicted,         // another connection needed its socket
  kResponseSent,    // its last response has been given
  kAborted,         // a stream broke: the client sees an end without the last chunk
  kWriteFailed,     // a response could not be written
  kWriteTimeout,    // the client took nothing for too long
  kNotAdmitted,     // its address is not allowed
  kProcessEnds,     // everything is closed
  kCount
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::kCount)>;

// The name of a reason in logs and counters, where it stays.
constexpr const char* Name(CloseReason reason) {
  constexpr std::array<const char*, static_cast<std::size_t>(CloseReason::kCount)> kNames = {
      "client-ended", "idle",         "silent",       "made-room",    "answered",
      "aborted",      "write-failed", "client-stuck", "not-admitted", "process-ends"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace ryeglade
