#include "http/client_input.h"

#include <algorithm>

namespace ryeglade {
namespace {

// Sizes in bytes.
constexpr std::size_t kMaxInput = std::size_t{16} * 1024;
constexpr std::size_t kMaxInputWhenShort = std::size_t{2} * 1024;  // while the memory budget is half used
constexpr std::size_t kMaxRead =
    std::size_t{64} * 1024;  // a body in few reads, while nothing waits before it
constexpr std::size_t kMinRead = std::size_t{2} * 1024;

}  // namespace

std::size_t ClientInput::Limit() const { return pool_->HalfUsed() ? kMaxInputWhenShort : kMaxInput; }

std::size_t ClientInput::ReadSize() const {
  if (empty() && !pool_->HalfUsed()) return kMaxRead;
  const std::size_t limit = Limit();
  return std::max(limit - std::min(limit, bytes().size()), kMinRead);
}

void ClientInput::Append(std::string_view bytes, Time now) {
  text_.erase(0, begin_);
  begin_ = 0;
  text_.append(bytes);
  arrivals_.Add(bytes.size(), now);
  reservation_.ResizeUnchecked(text_.capacity());
}

void ClientInput::Consume(std::size_t bytes) {
  begin_ = std::min(begin_ + bytes, text_.size());
  arrivals_.Consume(bytes);
  if (empty()) Clear();
}

void ClientInput::Clear() {
  std::string().swap(text_);  // frees the memory
  begin_ = 0;
  arrivals_ = {};
  reservation_.ResizeUnchecked(0);
}

}  // namespace ryeglade
