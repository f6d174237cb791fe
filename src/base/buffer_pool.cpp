#include "base/buffer_pool.h"

#include <malloc.h>

#include <algorithm>
#include <cstring>
#include <utility>

namespace ryeglade {
namespace {

// Free memory goes back to the system when the limit has fallen by one part in so many.
constexpr std::size_t kTrimShare = 8;

}  // namespace

void BufferPool::SetMaxBytes(std::size_t max_bytes) {
  max_bytes_ = max_bytes;
  while (free_.size() > MaxFree()) free_.pop_back();
  const bool much_lower = max_bytes < trimmed_at_ - trimmed_at_ / kTrimShare;
  if (much_lower) malloc_trim(0);
  if (much_lower || max_bytes > trimmed_at_) trimmed_at_ = max_bytes;
}

char* BufferPool::Acquire() {
  if (!MakeRoomFor(kSize)) return nullptr;
  ++in_use_;
  if (free_.empty()) return std::make_unique<char[]>(kSize).release();
  char* buffer = free_.back().release();
  free_.pop_back();
  return buffer;
}

void BufferPool::Release(char* buffer) {
  --in_use_;
  // Keep only some buffers, so that the memory of a burst is given back.
  std::unique_ptr<char[]> owned(buffer);
  if (free_.size() < MaxFree()) free_.push_back(std::move(owned));
}

bool BufferPool::Reserve(std::size_t bytes) {
  if (!MakeRoomFor(bytes)) return false;
  reserved_ += bytes;
  return true;
}

bool BufferPool::MakeRoomFor(std::size_t bytes) {
  while (!HasRoomFor(bytes)) {
    if (!Reclaim()) return false;
  }
  return true;
}

bool BufferPool::MakeHeadroom() {
  while (NearlyExhausted()) {
    if (!Reclaim()) return false;
  }
  return true;
}

bool BufferPool::Reclaim() {
  if (reclaiming_) return false;
  reclaiming_ = true;
  const bool reclaimed =
      std::any_of(reclaimers_.begin(), reclaimers_.end(), [](const auto& reclaim) { return reclaim(); });
  reclaiming_ = false;
  return reclaimed;
}

MemoryReservation::MemoryReservation(MemoryReservation&& other) noexcept
    : pool_(other.pool_), bytes_(std::exchange(other.bytes_, 0)) {}

MemoryReservation& MemoryReservation::operator=(MemoryReservation&& other) noexcept {
  if (this == &other) return *this;
  pool_->Unreserve(bytes_);
  pool_ = other.pool_;
  bytes_ = std::exchange(other.bytes_, 0);
  return *this;
}

bool MemoryReservation::Resize(std::size_t bytes) {
  if (bytes > bytes_ && !pool_->Reserve(bytes - bytes_)) return false;
  if (bytes < bytes_) pool_->Unreserve(bytes_ - bytes);
  bytes_ = bytes;
  return true;
}

void MemoryReservation::ResizeUnchecked(std::size_t bytes) {
  pool_->Unreserve(bytes_);
  pool_->ReserveUnchecked(bytes);
  bytes_ = bytes;
}

BufferChain::BufferChain(BufferChain&& other) noexcept
    : pool_(other.pool_), parts_(std::move(other.parts_)), size_(std::exchange(other.size_, 0)) {
  other.parts_.clear();
}

BufferChain& BufferChain::operator=(BufferChain&& other) noexcept {
  if (this == &other) return *this;
  Clear();
  pool_ = other.pool_;
  parts_.swap(other.parts_);
  size_ = std::exchange(other.size_, 0);
  return *this;
}

bool BufferChain::Append(std::string_view bytes) {
  while (!bytes.empty()) {
    const std::size_t used = size_ % BufferPool::kSize;
    if (used == 0 && size_ == parts_.size() * BufferPool::kSize) {
      char* fresh = pool_->Acquire();
      if (fresh == nullptr) return false;
      parts_.push_back(fresh);
    }
    const std::size_t n = std::min(BufferPool::kSize - used, bytes.size());
    std::memcpy(parts_.back() + used, bytes.data(), n);
    size_ += n;
    bytes.remove_prefix(n);
  }
  return true;
}

void BufferChain::Clear() {
  for (char* part : parts_) pool_->Release(part);
  parts_.clear();
  size_ = 0;
}

std::vector<std::string_view> BufferChain::Pieces() const {
  std::vector<std::string_view> pieces;
  std::size_t left = size_;
  for (const char* part : parts_) {
    pieces.emplace_back(part, std::min(left, BufferPool::kSize));
    left -= pieces.back().size();
  }
  return pieces;
}

std::string BufferChain::Text() const {
  std::string text;
  text.reserve(size_);
  for (const std::string_view piece : Pieces()) text.append(piece);
  return text;
}

}  // namespace ryeglade
