// Why the node closed a client's connection, for its log and its counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace ryeglade {

enum class CloseReason : std::uint8_t {
  kClientEnded,  // the client closed it, or it broke
  kIdle,         // nothing was owed, and the process ends or hands over
  kSilent,       // no request came in the time that a connection has
  kMadeRoom,     // another connection needed its socket
  kAnswered,     // its last answer has been given
  kAborted,      // a stream broke: the client sees an end without the last chunk
  kWriteFailed,  // an answer could not be written
  kClientStuck,  // the client took nothing for too long
  kNotAdmitted,  // its address is not let in
  kProcessEnds,  // everything is closed
  kCount
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::kCount)>;

// The word of a reason in logs and counters.
constexpr const char* Name(CloseReason reason) {
  constexpr std::array<const char*, static_cast<std::size_t>(CloseReason::kCount)> kWords = {
      "client-ended", "idle",         "silent",       "made-room",    "answered",
      "aborted",      "write-failed", "client-stuck", "not-admitted", "process-ends"};
  return kWords[static_cast<std::size_t>(reason)];
}

}  // namespace ryeglade
