// Checks the line structure of an HTTP message's head, which the parser library leaves unchecked as Debian
// builds it: every CR is followed by LF, and no line ahead of the first field is folded. It also keeps the
// ends of the first line, where the protocol's name stands. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace ryeglade {

// One per message; it sees the bytes of the head in order.
class HeadScanner {
 public:
  // What the first bytes of the input are.
  struct Part {
    std::size_t size = 0;    // number of bytes that belong to the head
    bool ends_head = false;  // the last of them end the head's last, empty line
    bool malformed = false;  // no part of the head may be used
  };

  // Scans at most to the end of the head.
  Part Next(std::string_view bytes);

  // The first and the last kEndBytes bytes of the first line, or fewer if it is shorter.
  static constexpr std::size_t kEndBytes = 8;
  std::string_view first_line_begin() const { return first_line_begin_; }
  std::string_view first_line_end() const { return first_line_end_; }

 private:
  bool IsFold(char c) const;
  // Returns whether the line that ends here is the empty line that ends the head.
  bool EndLine();
  void KeepFirstLine(char c);

  std::size_t lines_ = 0;        // complete lines that are not empty
  std::size_t line_length_ = 0;  // bytes of the current line, without CR
  bool after_cr_ = false;        // only LF may follow
  std::string first_line_begin_, first_line_end_;
};

}  // namespace ryeglade
