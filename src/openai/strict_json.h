// Reads JSON texts from untrusted sources, with RapidJSON. UTF-8 is validated, numbers must fit into a
// double, nesting is bounded, no object may contain a key twice, and nothing may follow the value. Takes one
// pass, and memory proportional to the size of the text. The caller's handler is called for each value, with
// its depth and its key.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ryeglade::openai {

inline constexpr int kMaxJsonDepth = 64;  // nested objects and arrays

// kInteger: a number without fraction and exponent that fits into 64 bits. kNumber: any other number.
enum class JsonKind : std::uint8_t { kNull, kBool, kInteger, kNumber, kString, kObject, kArray };

// A value in the text. Objects and arrays are reported at their start, and with OnEnd at their end.
struct JsonValue {
  JsonKind kind = JsonKind::kNull;
  int depth = 0;          // 0 for the outermost value
  std::string_view key;   // the value's key in the enclosing object; empty in an array
  std::string_view text;  // the decoded string, if the value is one
  double number = 0;      // the value of a number; 0 or 1 for a bool
  // Offsets of the value in the text. Only the values of an object's fields have a `begin`; for others it
  // equals `end`. For an object or array `end` is the offset after its opening brace or bracket.
  std::size_t begin = 0, end = 0;
};

// Receives the values of a text in order.
class JsonHandler {
 public:
  virtual ~JsonHandler() = default;
  // Both return false to stop reading. The views in `value` are valid only during the call. OnEnd is called
  // after the last value of an object or array; `end` is the offset after its closing brace or bracket.
  virtual bool OnValue(const JsonValue& value) = 0;
  virtual bool OnEnd(JsonKind /*kind*/, int /*depth*/, std::size_t /*end*/) { return true; }
};

// Returns an empty string if the whole text was read, "stopped" if the handler stopped, and otherwise a
// description of the error. CheckUsage in ledger/usage_model.cpp searches the description for "twice" and
// "too big".
std::string ReadJson(std::string_view text, JsonHandler& handler);

// Returns `text` as a JSON string, including the quotes.
std::string QuoteJson(std::string_view text);

}  // namespace ryeglade::openai
