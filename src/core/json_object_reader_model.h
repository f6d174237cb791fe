// Cuts the text of a watch on discovery into its JSON objects. An object may stand on one line or be indented
// over several; a blank line between two objects is a heartbeat. No I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ryeglade {

// Bytes are appended as they come; what is complete is taken out.
class JsonObjectReader {
 public:
  // What Next has found.
  enum class Found : unsigned char {
    kIncomplete,  // nothing more before further bytes come
    kObject,
    kHeartbeat,
    kMalformed,
  };

  void Append(std::string_view bytes) { text_.append(bytes); }
  // The next thing in the text. With kObject its text, which is balanced but need not be valid JSON, is put
  // into `object`. After kMalformed the reader is of no more use.
  Found Next(std::string* object);
  std::size_t pending() const { return text_.size(); }  // bytes that wait for the end of their object

 private:
  Found NextBetweenObjects(char c);
  bool ConsumeInObject(char c);

  std::string text_;
  std::size_t scanned_ = 0;  // bytes of `text_` that have been read
  std::size_t depth_ = 0;    // of open braces and brackets; 0: between objects
  bool in_string_ = false;
  bool escaped_ = false;
  bool line_blank_ = true;  // nothing but blanks stands on this line so far
};

}  // namespace ryeglade
