#include "http/stream_end_scanner.h"

#include <algorithm>

#include "http/line_end.h"

namespace ryeglade {

void StreamEndScanner::Feed(std::string_view bytes) {
  while (!bytes.empty() && !data_after_done()) {
    if (after_cr_ && bytes.front() == '\n') bytes.remove_prefix(1);
    after_cr_ = false;
    const std::size_t end = FindLineEnd(bytes, 0);
    KeepLineStart(bytes.substr(0, end));
    if (end == std::string_view::npos) return;
    after_cr_ = bytes[end] == '\r';
    bytes.remove_prefix(end + 1);
    OnLineEnd();
  }
}

void StreamEndScanner::KeepLineStart(std::string_view part) {
  const std::size_t size = std::min(part.size(), line_start_.size() - line_start_size_);
  std::copy_n(part.data(), size, line_start_.data() + line_start_size_);
  line_start_size_ += size;
}

bool StreamEndScanner::LineIsData() const { return line_start().starts_with("data:"); }

void StreamEndScanner::OnLineEnd() {
  if (LineIsData()) {
    block_has_data_ = true;
    block_is_done_ = line_start() == "data: [DONE]" || line_start() == "data:[DONE]";
  } else if (line_start().empty() && block_has_data_) {
    has_event_ = true;
    done_ = block_is_done_;
    block_has_data_ = false;
  }
  line_start_size_ = 0;
}

}  // namespace ryeglade
