// A pool of reusable buffers of one size, and chains of them. The pool is bounded: when it is exhausted, an
// append fails and the caller rejects the work, so that the node stays within its memory limit.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade {

// Provides buffers of kSize bytes and limits how many are in use. Not thread-safe.
class BufferPool {
 public:
  static constexpr std::size_t kSize = std::size_t{16} * 1024;
  static constexpr std::size_t kMaxFree = 128;  // number of released buffers kept for reuse
  explicit BufferPool(std::size_t max_bytes) : max_buffers_(max_bytes / kSize) {}

  // If the limit is lowered, buffers in use remain valid.
  void SetMaxBytes(std::size_t max_bytes) { max_buffers_ = max_bytes / kSize; }
  char* Acquire();  // returns nullptr if the pool is exhausted
  void Release(char* buffer);
  std::size_t in_use() const { return in_use_; }  // number of buffers
  bool NearlyExhausted() const { return in_use_ * 10 >= max_buffers_ * 9; }

 private:
  std::size_t max_buffers_;
  std::size_t in_use_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

// A byte string stored in buffers of a pool, which are released with it. Can be moved but not copied.
class BufferChain {
 public:
  explicit BufferChain(BufferPool* pool) : pool_(pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;
  BufferChain(const BufferChain&) = delete;
  BufferChain& operator=(const BufferChain&) = delete;
  ~BufferChain() { Clear(); }

  bool Append(std::string_view bytes);  // returns false if the pool is exhausted; what fitted is kept
  void Clear();
  std::size_t size() const { return size_; }
  std::vector<std::string_view> Pieces() const;
  std::string Text() const;  // a contiguous copy

 private:
  BufferPool* pool_;
  std::vector<char*> parts_;
  std::size_t size_ = 0;
};

}  // namespace ryeglade
