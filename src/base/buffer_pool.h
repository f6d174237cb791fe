// A pool of buffers of one size, used again, and chains of them. The pool is bounded: when it is spent, an
// append fails and the caller refuses the work, so that the node stays inside its memory limit.
#pragma once

#include <cstddef>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade {

class BufferPool {
 public:
  static constexpr std::size_t kSize = std::size_t{16} * 1024;
  static constexpr std::size_t kMostFree = 128;  // kept for the next use
  explicit BufferPool(std::size_t most_bytes) : most_(most_bytes / kSize) {}

  void Limit(std::size_t most_bytes) { most_ = most_bytes / kSize; }  // what is out stays out
  char* Take();                                                       // nullptr: the pool is spent
  void Return(char* buffer);
  std::size_t taken() const { return taken_; }
  bool Scarce() const { return taken_ * 10 >= most_ * 9; }

 private:
  std::size_t most_;
  std::size_t taken_ = 0;
  std::vector<std::unique_ptr<char[]>> free_;
};

class BufferChain {
 public:
  explicit BufferChain(BufferPool* pool) : pool_(pool) {}
  BufferChain(BufferChain&& other) noexcept;
  BufferChain& operator=(BufferChain&& other) noexcept;
  BufferChain(const BufferChain&) = delete;
  BufferChain& operator=(const BufferChain&) = delete;
  ~BufferChain() { Clear(); }

  bool Append(std::string_view bytes);  // false: the pool is spent; what fitted is kept
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
