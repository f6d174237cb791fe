// Why the node closed a client's connection, for the log and the counters.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace ryeglade {

// Closed connections are counted by reason. Name lists the names of the reasons in the same order.
enum class CloseReason : std::uint8_t {
  kClientEnded,     // the client closed the connection, or it broke
  kIdle,            // no response was due, and the process is shutting down or in a hot restart
  kRequestTimeout,  // no complete request arrived in time
  kEvicted,         // closed in favor of a new connection
  kResponseSent,    // the connection's last response has been sent
  kAborted,         // the response broke off; the client gets no last chunk
  kWriteFailed,     // a response could not be written
  kWriteTimeout,    // the client read nothing for too long
  kNotAdmitted,     // the client's address is not allowed
  kProcessEnds,     // the process closed all connections
  kCount
};

using CloseCounts = std::array<std::uint64_t, static_cast<std::size_t>(CloseReason::kCount)>;

// The name of a reason in logs and counters. The names are stable, whatever the enumerators are called.
constexpr const char* Name(CloseReason reason) {
  constexpr std::array<const char*, static_cast<std::size_t>(CloseReason::kCount)> kNames = {
      "client-ended", "idle",         "silent",       "made-room",    "answered",
      "aborted",      "write-failed", "client-stuck", "not-admitted", "process-ends"};
  return kNames[static_cast<std::size_t>(reason)];
}

}  // namespace ryeglade
