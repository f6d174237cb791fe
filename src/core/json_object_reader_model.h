// Splits the text of a discovery watch into its JSON objects. An object may be on one line or indented over
// several; a blank line between two objects is a heartbeat. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ryeglade {

// Append adds bytes as they arrive; Next removes the next complete object.
class JsonObjectReader {
 public:
  // What Next found.
  enum class Found : unsigned char {
    kIncomplete,  // nothing complete; more bytes are needed
    kObject,
    kHeartbeat,
    kMalformed,
  };

  void Append(std::string_view bytes) { text_.append(bytes); }
  // Returns what comes next in the text. For kObject, `object` is set to the object's text, in which braces
  // and brackets are balanced but which need not be valid JSON. After kMalformed the reader must not be used
  // any more.
  Found Next(std::string* object);
  std::size_t pending() const { return text_.size(); }  // bytes of an object that is not complete

 private:
  Found NextBetweenObjects(char c);
  bool ConsumeInObject(char c);

  std::string text_;
  std::size_t scanned_ = 0;  // bytes of `text_` that have been read
  std::size_t depth_ = 0;    // number of open braces and brackets; 0 between objects
  bool in_string_ = false;
  bool escaped_ = false;
  bool line_blank_ = true;  // the current line has only blanks so far
};

}  // namespace ryeglade
