#include "http/head_scanner_model.h"

#include "http/token_model.h"

namespace ryeglade {

HeadScanner::Part HeadScanner::Next(std::string_view bytes) {
  Part part;
  for (std::size_t i = 0; i < bytes.size(); ++i) {
    const char c = bytes[i];
    if (after_cr_ && c != '\n') return {0, false, true};
    if (IsFold(c) && lines_ < 2) return {0, false, true};  // there is no field that the line continues
    part.size = i + 1;
    after_cr_ = c == '\r';
    if (c == '\n') {
      part.ends_head = EndLine();
      if (part.ends_head) return part;
    } else if (c != '\r') {
      ++line_length_;
      if (lines_ == 0) KeepFirstLine(c);
    }
  }
  return part;
}

bool HeadScanner::IsFold(char c) const { return IsBlank(c) && line_length_ == 0 && lines_ > 0; }

void HeadScanner::KeepFirstLine(char c) {
  if (first_line_begin_.size() < kEndBytes) first_line_begin_.push_back(c);
  if (first_line_end_.size() == kEndBytes) first_line_end_.erase(0, 1);
  first_line_end_.push_back(c);
}

// Empty lines ahead of the first line are skipped, as HTTP/1.1 asks of servers.
bool HeadScanner::EndLine() {
  const bool empty = line_length_ == 0;
  if (!empty) ++lines_;
  line_length_ = 0;
  return empty && lines_ > 0;
}

}  // namespace ryeglade
