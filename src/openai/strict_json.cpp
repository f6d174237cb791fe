#include "openai/strict_json.h"

#include <rapidjson/encodedstream.h>
#include <rapidjson/error/en.h>
#include <rapidjson/memorystream.h>
#include <rapidjson/reader.h>

#include <cstring>
#include <unordered_set>
#include <vector>

namespace ryeglade::openai {
namespace {

using Bytes = rapidjson::MemoryStream;

// Handler of RapidJSON's parser. Checks the depth and the uniqueness of keys, which the parser does not, and
// passes the values on to `handler`.
struct SaxHandler {
  std::string_view text;
  Bytes& bytes;
  JsonHandler& handler;
  std::string error;  // empty if no error has occurred
  struct Level {
    bool is_object;
    std::unordered_set<std::string> keys;  // the keys that have occurred in the object
  };
  std::vector<Level> levels;    // the objects and arrays that enclose the current position
  std::string key;              // key of the value that follows
  std::size_t value_begin = 0;  // offset of the value that follows the key

  int depth() const { return static_cast<int>(levels.size()); }
  std::size_t SkipSpace(std::size_t at) const {
    while (at < text.size() && std::strchr(" \t\r\n", text[at]) != nullptr && text[at] != '\0') ++at;
    return at;
  }
  bool Value(JsonKind kind, double number = 0, std::string_view string = {}) {
    JsonValue v{kind, depth(), {}, string, number, 0, 0};
    const bool in_object = !levels.empty() && levels.back().is_object;
    if (in_object) v.key = key;
    v.end = bytes.Tell();
    v.begin = in_object ? value_begin : v.end;
    return handler.OnValue(v) || Stop();
  }
  bool Stop() {
    if (error.empty()) error = "stopped";
    return false;
  }
  bool BeginLevel(bool is_object) {
    if (!Value(is_object ? JsonKind::kObject : JsonKind::kArray)) return false;
    if (depth() >= kMaxJsonDepth) {
      error = "nested deeper than " + std::to_string(kMaxJsonDepth) + " levels";
      return false;
    }
    levels.push_back({is_object, {}});
    return true;
  }
  bool EndLevel(bool is_object) {
    levels.pop_back();
    return handler.OnEnd(is_object ? JsonKind::kObject : JsonKind::kArray, depth(), bytes.Tell()) || Stop();
  }

  bool Null() { return Value(JsonKind::kNull); }
  bool Bool(bool b) { return Value(JsonKind::kBool, b ? 1 : 0); }
  bool Int(int i) { return Value(JsonKind::kInteger, i); }
  bool Uint(unsigned u) { return Value(JsonKind::kInteger, u); }
  bool Int64(std::int64_t i) { return Value(JsonKind::kInteger, static_cast<double>(i)); }
  bool Uint64(std::uint64_t u) { return Value(JsonKind::kInteger, static_cast<double>(u)); }
  bool Double(double d) { return Value(JsonKind::kNumber, d); }
  bool RawNumber(const char*, rapidjson::SizeType, bool) { return Stop(); }
  bool String(const char* s, rapidjson::SizeType n, bool) { return Value(JsonKind::kString, 0, {s, n}); }
  bool StartObject() { return BeginLevel(true); }
  bool EndObject(rapidjson::SizeType) { return EndLevel(true); }
  bool StartArray() { return BeginLevel(false); }
  bool EndArray(rapidjson::SizeType) { return EndLevel(false); }
  bool Key(const char* s, rapidjson::SizeType n, bool) {
    key.assign(s, n);
    if (!levels.back().keys.insert(key).second) {
      error = "the key '" + key.substr(0, 60) + "' comes twice in one object";
      return false;
    }
    value_begin = SkipSpace(bytes.Tell());
    if (value_begin < text.size()) value_begin = SkipSpace(value_begin + 1);  // past the colon
    return true;
  }
};

}  // namespace

std::string ReadJson(std::string_view text, JsonHandler& handler) {
  // The parser takes a NUL byte for the end of the text and would ignore what follows.
  if (std::memchr(text.data(), '\0', text.size()) != nullptr) return "holds a NUL byte";
  // The parser skips a byte order mark, and even an incomplete one.
  if (!text.empty() && static_cast<unsigned char>(text.front()) >= 0x80) return "does not start with JSON";
  Bytes bytes(text.data(), text.size());
  rapidjson::EncodedInputStream<rapidjson::UTF8<>, Bytes> decoded(bytes);
  SaxHandler sax{text, bytes, handler, {}, {}, {}, 0};
  rapidjson::Reader reader;
  constexpr unsigned kFlags = rapidjson::kParseValidateEncodingFlag | rapidjson::kParseFullPrecisionFlag;
  const rapidjson::ParseResult result = reader.Parse<kFlags>(decoded, sax);
  if (!result.IsError()) return "";
  if (!sax.error.empty()) return sax.error;
  return std::string(rapidjson::GetParseError_En(result.Code())) + " (byte " +
         std::to_string(result.Offset()) + ")";
}

std::string QuoteJson(std::string_view text) {
  std::string out = "\"";
  for (const char c : text) {
    if (c == '"' || c == '\\') {
      out += '\\';
      out += c;
    } else if (static_cast<unsigned char>(c) < 0x20) {
      constexpr const char* kHex = "0123456789abcdef";
      out += "\\u00";
      out += kHex[static_cast<unsigned char>(c) >> 4];
      out += kHex[c & 15];
    } else {
      out += c;
    }
  }
  return out + "\"";
}

}  // namespace ryeglade::openai
