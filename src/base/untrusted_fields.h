// Reads a MessagePack array from a peer field by field. Every type, range and length is checked; a violation
// throws BadField with the reason "malformed" or "range".
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <msgpack.hpp>
#include <stdexcept>
#include <string>

namespace ryeglade {

// A field that is missing, of another type, or out of range.
struct BadField : std::runtime_error {
  using std::runtime_error::runtime_error;
};

// Reads the elements of an array in order. The array must outlive this object.
class UntrustedFields {
 public:
  explicit UntrustedFields(const msgpack::object& o) {
    if (o.type != msgpack::type::ARRAY) throw BadField("malformed");
    next_ = o.via.array.ptr;
    remaining_ = o.via.array.size;
  }
  // The next element, of any type.
  const msgpack::object& Next() {
    if (remaining_ == 0) throw BadField("malformed");
    --remaining_;
    return *next_++;
  }
  // An integer from 0 to max.
  std::uint64_t Number(std::uint64_t max) {
    const msgpack::object& o = Next();
    if (o.type != msgpack::type::POSITIVE_INTEGER) throw BadField("malformed");
    if (o.via.u64 > max) throw BadField("range");
    return o.via.u64;
  }
  // An integer from -max to max.
  std::int64_t Signed(std::int64_t max) {
    const msgpack::object& o = Next();
    if (o.type == msgpack::type::POSITIVE_INTEGER && o.via.u64 <= static_cast<std::uint64_t>(max))
      return static_cast<std::int64_t>(o.via.u64);
    if (o.type != msgpack::type::NEGATIVE_INTEGER && o.type != msgpack::type::POSITIVE_INTEGER)
      throw BadField("malformed");
    if (o.type == msgpack::type::POSITIVE_INTEGER || o.via.i64 < -max) throw BadField("range");
    return o.via.i64;
  }
  // A boolean.
  bool Flag() {
    const msgpack::object& o = Next();
    if (o.type != msgpack::type::BOOLEAN) throw BadField("malformed");
    return o.via.boolean;
  }
  // A binary string of any length.
  std::string Bytes() {
    const msgpack::object& o = Next();
    if (o.type != msgpack::type::BIN) throw BadField("malformed");
    return {o.via.bin.ptr, o.via.bin.size};
  }
  // A string of `min` to `max` bytes without white space or control characters, because names of peers appear
  // in logs and on terminals.
  std::string Text(std::size_t min, std::size_t max) {
    const msgpack::object& o = Next();
    if (o.type != msgpack::type::STR) throw BadField("malformed");
    if (o.via.str.size < min || o.via.str.size > max) throw BadField("range");
    std::string text(o.via.str.ptr, o.via.str.size);
    if (std::any_of(text.begin(), text.end(), [](char c) { return c <= 0x20 || c == 0x7f; }))
      throw BadField("range");
    return text;
  }
  std::size_t remaining() const { return remaining_; }  // number of elements not read yet

 private:
  const msgpack::object* next_;
  std::uint32_t remaining_;
};

}  // namespace ryeglade
