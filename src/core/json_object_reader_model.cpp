#include "core/json_object_reader_model.h"

namespace ryeglade {
namespace {

bool IsBlank(char c) { return c == ' ' || c == '\t' || c == '\r'; }

}  // namespace

JsonObjectReader::Found JsonObjectReader::Next(std::string* object) {
  while (scanned_ < text_.size()) {
    const char c = text_[scanned_++];
    if (depth_ == 0) {
      const Found found = NextBetweenObjects(c);
      if (found != Found::kIncomplete) return found;
      continue;
    }
    if (!ConsumeInObject(c)) return Found::kMalformed;
    if (depth_ > 0) continue;
    *object = text_.substr(0, scanned_);
    text_.erase(0, scanned_);
    scanned_ = 0;
    return Found::kObject;
  }
  if (depth_ == 0) {
    text_.clear();
    scanned_ = 0;
  }
  return Found::kIncomplete;
}

JsonObjectReader::Found JsonObjectReader::NextBetweenObjects(char c) {
  if (IsBlank(c)) return Found::kIncomplete;
  if (c == '\n') {
    const bool blank = line_blank_;
    line_blank_ = true;
    return blank ? Found::kHeartbeat : Found::kIncomplete;
  }
  if (c != '{') return Found::kMalformed;
  text_.erase(0, scanned_ - 1);
  scanned_ = 1;
  depth_ = 1;
  line_blank_ = false;
  return Found::kIncomplete;
}

// Returns false if the text cannot be JSON. A line end within a string, or a blank line within an object,
// shows that the object was truncated: what follows belongs to another object.
bool JsonObjectReader::ConsumeInObject(char c) {
  if (c == '\n') {
    if (in_string_ || line_blank_) return false;
    line_blank_ = true;
    return true;
  }
  if (!IsBlank(c)) line_blank_ = false;
  if (in_string_) {
    if (escaped_) {
      escaped_ = false;
    } else if (c == '\\') {
      escaped_ = true;
    } else if (c == '"') {
      in_string_ = false;
    }
    return true;
  }
  if (c == '"') in_string_ = true;
  if (c == '{' || c == '[') ++depth_;
  if (c == '}' || c == ']') --depth_;
  return true;
}

}  // namespace ryeglade
