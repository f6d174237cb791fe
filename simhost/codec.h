// The simulator's wire: little-endian frames of records. Every read is checked against the record's end, and
// a defect is a WireError that names what was wrong and where. The wire has names of its own; this codec is
// the one place that maps them to the terms of ryeglade::policy, and errors name fields as the wire does.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderBytes = 12;
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 28;

// Reads the fields of one record, or of a header, in order.
class Reader {
 public:
  Reader(std::string_view bytes, std::string what) : bytes_(bytes), what_(std::move(what)) {}

  std::uint8_t U8(const char* field) { return static_cast<std::uint8_t>(Unsigned(1, field)); }
  std::uint16_t U16(const char* field) { return static_cast<std::uint16_t>(Unsigned(2, field)); }
  std::uint32_t U32(const char* field) { return static_cast<std::uint32_t>(Unsigned(4, field)); }
  std::uint64_t U64(const char* field) { return Unsigned(8, field); }
  double F32(const char* field);  // a value that is not finite is a defect
  std::string_view Bytes(std::size_t count, const char* field);
  std::size_t left() const { return bytes_.size() - offset_; }
  void ExpectEnd() const;
  // Throws a WireError that names the record and the offset.
  [[noreturn]] void Fail(const std::string& text) const;

 private:
  std::uint64_t Unsigned(std::size_t width, const char* field);

  std::string_view bytes_;
  std::string what_;
  std::size_t offset_ = 0;
};

// Appends fields to a reply.
class Writer {
 public:
  void U8(std::uint64_t v) { Unsigned(v, 1); }
  void U16(std::uint64_t v) { Unsigned(v, 2); }
  void U32(std::uint64_t v) { Unsigned(v, 4); }
  void U64(std::uint64_t v) { Unsigned(v, 8); }
  // Overwrites four bytes that have been written.
  void OverwriteU32(std::size_t offset, std::uint64_t v);
  std::string& bytes() { return bytes_; }

 private:
  void Unsigned(std::uint64_t v, std::size_t width);
  std::string bytes_;
};

// Codes of the event records, by what they mean; the wire's names beside them.
namespace event_code {
// Handled by the host.
inline constexpr std::uint8_t kPeerMessage = 1;  // from_peer
inline constexpr std::uint8_t kStartNode = 5;    // provision
inline constexpr std::uint8_t kStopNode = 10;    // retire
inline constexpr std::uint8_t kSelectNode = 11;  // at
// Handled by a Router.
inline constexpr std::uint8_t kClientDisconnected = 2;    // abandoned
inline constexpr std::uint8_t kTimerFired = 3;            // elapsed
inline constexpr std::uint8_t kResponseStarted = 4;       // headers
inline constexpr std::uint8_t kHealthCheckCompleted = 6;  // probed
inline constexpr std::uint8_t kEndpointList = 7;          // directory_update
inline constexpr std::uint8_t kRequestArrived = 8;        // job_in
inline constexpr std::uint8_t kAttemptEnded = 9;          // answer
}  // namespace event_code

// The fields of one event record that goes to a Router. Throws WireError on an unknown code.
Event DecodeEvent(std::uint8_t code, std::string_view fields);

// A record that names the node whose actions follow.
void EncodeNode(std::uint16_t node, Writer& out);
// One action record.
void EncodeAction(const Action& action, Writer& out);

}  // namespace ryeglade::policy::wire
