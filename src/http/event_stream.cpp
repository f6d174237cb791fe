#include "http/event_stream.h"

#include "http/line_end.h"

namespace ryeglade {
namespace {

constexpr std::string_view kByteOrderMark = "\xEF\xBB\xBF";

}  // namespace

void EventStream::BeginBlock() {
  line_ = 0;
  searched_ = 0;
  data_.clear();
  type_ = {};
  id_ = {};
}

// Returns whether `block`, which starts with the current block, contains its end; if so, fills in `event`.
// The position is kept between calls, so that a block that arrives byte by byte is searched only once.
bool EventStream::NextBlock(std::string_view block, Event* event) {
  while (true) {
    if (skip_lf_ && line_ < block.size()) {
      skip_lf_ = false;
      if (block[line_] == '\n') {
        ++line_;
        searched_ = line_;
      }
    }
    const std::size_t end = FindLineEnd(block, searched_);
    if (end == std::string_view::npos) {
      searched_ = block.size();
      return false;
    }
    const std::size_t from = line_;
    skip_lf_ = block[end] == '\r';
    line_ = end + 1;
    searched_ = line_;
    std::size_t start = from;
    if (first_line_) {
      first_line_ = false;
      if (block.substr(from, kByteOrderMark.size()) == kByteOrderMark) start += kByteOrderMark.size();
    }
    if (start != end) {
      ReadLine(block, start, end);
      continue;
    }
    // If the empty line ends with CRLF, its LF is part of this block if it has already arrived.
    if (skip_lf_ && line_ < block.size()) {
      skip_lf_ = false;
      if (block[line_] == '\n') ++line_;
    }
    const auto view = [&](const Range& r) { return block.substr(r.first, r.second); };
    event->raw = block.substr(0, line_);
    event->has_data = !data_.empty();
    event->type = view(type_);
    event->id = view(id_);
    event->data = {};
    if (data_.size() == 1) event->data = view(data_.front());
    if (data_.size() > 1) {
      joined_.clear();
      for (const Range& r : data_) {
        if (&r != &data_.front()) joined_ += '\n';
        joined_ += view(r);
      }
      event->data = joined_;
    }
    return true;
  }
}

void EventStream::ReadLine(std::string_view block, std::size_t from, std::size_t to) {
  const std::string_view line = block.substr(from, to - from);
  const std::size_t colon = line.find(':');
  if (colon == 0) return;  // a comment
  const std::string_view field = line.substr(0, colon);
  std::size_t value = to;
  if (colon != std::string_view::npos) {
    value = from + colon + 1;
    if (value < to && block[value] == ' ') ++value;
  }
  const Range range{value, to - value};
  if (field == "data") data_.push_back(range);
  if (field == "event") type_ = range;
  if (field == "id") id_ = range;
}

}  // namespace ryeglade
