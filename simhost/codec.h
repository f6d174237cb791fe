// The simulator's wire format: little-endian frames of records. Every read is checked against the record's
// end. Malformed input throws a WireError whose text says what is wrong, in which record and at which byte.
// The wire format has its own names for fields and records; only this codec maps them to the terms of
// ryeglade::policy. Errors use the names of the wire format.
#pragma once

#include <cstddef>
#include <cstdint>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade::policy::wire {

// Malformed input, or a reply that can't be written.
class WireError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

inline constexpr std::size_t kBatchHeaderBytes = 12;                 // length of the frame and clock
inline constexpr std::size_t kMaxFrameBytes = std::size_t{1} << 28;  // including the header

// Reads the fields of one record, or of a header, in order. Each function throws a WireError if the input
// ends before the field does.
class Reader {
 public:
  // `what` names the record in errors. The bytes must outlive the Reader.
  Reader(std::string_view bytes, std::string what) : bytes_(bytes), what_(std::move(what)) {}

  std::uint8_t U8(const char* field) { return static_cast<std::uint8_t>(Unsigned(1, field)); }
  std::uint16_t U16(const char* field) { return static_cast<std::uint16_t>(Unsigned(2, field)); }
  std::uint32_t U32(const char* field) { return static_cast<std::uint32_t>(Unsigned(4, field)); }
  std::uint64_t U64(const char* field) { return Unsigned(8, field); }
  double F32(const char* field);  // throws a WireError if the value is not finite
  // Returns a view of the next `count` bytes of the input.
  std::string_view Bytes(std::size_t count, const char* field);
  std::size_t remaining() const { return bytes_.size() - offset_; }
  // Throws a WireError unless all input has been read.
  void ExpectEnd() const;
  // Throws a WireError with `text`, the name of the record and the offset.
  [[noreturn]] void Fail(const std::string& text) const;

 private:
  std::uint64_t Unsigned(std::size_t width, const char* field);

  std::string_view bytes_;
  std::string what_;
  std::size_t offset_ = 0;
};

// Appends fields to a reply. The integers are truncated to the width of their field.
class Writer {
 public:
  void U8(std::uint64_t v) { Unsigned(v, 1); }
  void U16(std::uint64_t v) { Unsigned(v, 2); }
  void U32(std::uint64_t v) { Unsigned(v, 4); }
  void U64(std::uint64_t v) { Unsigned(v, 8); }
  // Overwrites four bytes that have already been written.
  void OverwriteU32(std::size_t offset, std::uint64_t v);
  std::string& bytes() { return bytes_; }

 private:
  void Unsigned(std::uint64_t v, std::size_t width);
  std::string bytes_;
};

// Codes of the event records, with their names in the wire format as comments.
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

// Decodes an event record for a Router. Throws a WireError if the code is unknown or the fields are
// malformed.
Event DecodeEvent(std::uint8_t code, std::string_view fields);

// Writes a record that names the node whose actions follow.
void EncodeNode(std::uint16_t node, Writer& out);
// Writes one action record.
void EncodeAction(const Action& action, Writer& out);

}  // namespace ryeglade::policy::wire
