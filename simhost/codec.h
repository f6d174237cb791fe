// The simulator's wire: little-endian frames of records. Every read is checked against the record's end, and
// a defect is a WireError that names what was wrong and where.
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

inline constexpr std::size_t kBatchHeader = 12;
inline constexpr std::size_t kMaxFrame = std::size_t{1} << 28;

// Reads the fields of one record, or of a header, in order.
class Reader {
 public:
  Reader(std::string_view bytes, std::string what) : bytes_(bytes), what_(std::move(what)) {}

  std::uint8_t U8(const char* field) { return static_cast<std::uint8_t>(Unsigned(1, field)); }
  std::uint16_t U16(const char* field) { return static_cast<std::uint16_t>(Unsigned(2, field)); }
  std::uint32_t U32(const char* field) { return static_cast<std::uint32_t>(Unsigned(4, field)); }
  std::uint64_t U64(const char* field) { return Unsigned(8, field); }
  double F32(const char* field);  // a value that is not finite is a defect
  std::string_view Bytes(std::size_t n, const char* field);
  std::size_t left() const { return bytes_.size() - at_; }
  void ExpectEnd() const;
  [[noreturn]] void Defect(const std::string& text) const;

 private:
  std::uint64_t Unsigned(std::size_t width, const char* field);

  std::string_view bytes_;
  std::string what_;
  std::size_t at_ = 0;
};

// Appends fields to a reply.
class Writer {
 public:
  void U8(std::uint64_t v) { Unsigned(v, 1); }
  void U16(std::uint64_t v) { Unsigned(v, 2); }
  void U32(std::uint64_t v) { Unsigned(v, 4); }
  void U64(std::uint64_t v) { Unsigned(v, 8); }
  void Patch32(std::size_t at, std::uint64_t v);
  std::string& bytes() { return bytes_; }

 private:
  void Unsigned(std::uint64_t v, std::size_t width);
  std::string bytes_;
};

// Codes of the event records that the host itself handles.
inline constexpr std::uint8_t kAt = 11;
inline constexpr std::uint8_t kProvision = 5;
inline constexpr std::uint8_t kRetire = 10;
inline constexpr std::uint8_t kFromPeer = 1;

// The fields of one event record that goes to a Router. Throws WireError on an unknown code.
Event DecodeEvent(std::uint8_t code, std::string_view fields);

// One record naming the instance whose actions follow, and one action record.
void EncodeSource(std::uint16_t node, Writer& out);
void EncodeAction(const Action& action, Writer& out);

}  // namespace ryeglade::policy::wire
