// A reader of JSON texts from strangers, on RapidJSON: UTF-8 is checked, numbers must fit a double, nesting
// is bounded, no object may hold a key twice and nothing may follow the text. One pass, memory in proportion
// to the text. The caller's handler is told each value with its place: depth, and key within the object at
// hand.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace ryeglade::openai {

inline constexpr int kMaxJsonDepth = 64;

enum class JsonKind : std::uint8_t { kNull, kBool, kInteger, kNumber, kString, kObject, kArray };

// A value met. For an object or array it comes at its start; OnEnd follows.
struct JsonValue {
  JsonKind kind = JsonKind::kNull;
  int depth = 0;          // of the value: 0 is the text itself
  std::string_view key;   // within the object at hand; empty in an array
  std::string_view text;  // of a string, decoded
  double number = 0;      // of a number; 0 or 1 of a bool
  std::size_t begin = 0,
              end = 0;  // its bytes in the text; of an object or array `end` is behind its first brace
};

class JsonHandler {
 public:
  virtual ~JsonHandler() = default;
  virtual bool OnValue(const JsonValue& value) = 0;  // false: stops the reading
  virtual bool OnEnd(JsonKind /*kind*/, int /*depth*/, std::size_t /*to*/) { return true; }
};

// Empty: read to its end. Else what is wrong with it, in words; "stopped" if the handler did not go on.
std::string ReadJson(std::string_view text, JsonHandler& handler);

// `text` as a JSON string, quotes included.
std::string QuoteJson(std::string_view text);

}  // namespace ryeglade::openai
