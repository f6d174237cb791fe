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
  static constexpr std::size_t kSize = std::size_t{16} * 1024;  // bytes
  static constexpr std::size_t kMaxFree = 128;                  // number of released buffers kept for reuse
  // `max_bytes` is rounded down to whole buffers.
  explicit BufferPool(std::size_t max_bytes) : max_buffers_(max_bytes / kSize) {}

  // If the limit is lowered, buffers in use remain valid.
  void SetMaxBytes(std::size_t max_bytes) { max_buffers_ = max_bytes / kSize; }
  char* Acquire();                                // returns nullptr if the pool is exhausted
  void Release(char* buffer);                     // takes back a buffer that Acquire returned
  std::size_t in_use() const { return in_use_; }  // number of buffers
  // Returns whether at least nine tenths of the buffers are in use.
  bool NearlyExhausted() const { return in_use_ * 10 >= max_buffers_ * 9; }

 private:
  std::size_t max_buffers_;
  std::size_t in_use_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

// A byte string stored in buffers of a pool. It releases them when it is cleared or destroyed. Can be moved
// but not copied.
class BufferChain {
 public:
  explicit BufferChain(BufferPool* pool) : pool_(pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;
  BufferChain(const BufferChain&) = delete;
  BufferChain& operator=(const BufferChain&) = delete;
  ~BufferChain() { Clear(); }

  // Returns false if the pool is exhausted before all bytes are stored; those already stored are kept.
  bool Append(std::string_view bytes);
  void Clear();
  std::size_t size() const { return size_; }  // bytes
  // Returns the bytes in order, one view for each buffer. The views are valid until the chain is changed or
  // destroyed.
  std::vector<std::string_view> Pieces() const;
  std::string Text() const;  // a contiguous copy

 private:
  BufferPool* pool_;
  std::vector<char*> parts_;  // the buffers; all but the last one are full
  std::size_t size_ = 0;
};

}  // namespace ryeglade
