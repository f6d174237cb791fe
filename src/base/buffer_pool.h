// A pool of buffers of one size, reused, and chains of them. The pool is bounded: when it is exhausted, an
// append fails and the caller refuses the work, so that the node stays inside its memory limit.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade {

// Buffers of kSize bytes; at most a given number are in use at a time. Not thread-safe.
class BufferPool {
 public:
  static constexpr std::size_t kSize = std::size_t{16} * 1024;
  static constexpr std::size_t kMaxFree = 128;  // buffers kept for the next use
  explicit BufferPool(std::size_t max_bytes) : max_buffers_(max_bytes / kSize) {}

  void SetMaxBytes(std::size_t max_bytes) { max_buffers_ = max_bytes / kSize; }  // what is in use stays
  char* Acquire();  // nullptr: the pool is exhausted
  void Release(char* buffer);
  std::size_t in_use() const { return in_use_; }
  bool NearlyExhausted() const { return in_use_ * 10 >= max_buffers_ * 9; }

 private:
  std::size_t max_buffers_;
  std::size_t in_use_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

// A string of bytes in buffers of a pool, which get returned with it. Can be moved, not copied.
class BufferChain {
 public:
  explicit BufferChain(BufferPool* pool) : pool_(pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;
  BufferChain(const BufferChain&) = delete;
  BufferChain& operator=(const BufferChain&) = delete;
  ~BufferChain() { Clear(); }

  bool Append(std::string_view bytes);  // false: the pool is exhausted; what fitted is kept
  void Clear();
  std::size_t size() const { return size_; }
  std::vector<std::string_view> Pieces() const;
  std::string Text() const;  // a copy, in one piece

 private:
  BufferPool* pool_;
  std::vector<char*> parts_;
  std::size_t size_ = 0;
};

}  // namespace ryeglade
