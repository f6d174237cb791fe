// The memory budget of a process: a pool of reusable buffers of one size, chains of them, and reservations
// for bytes that are held elsewhere. The budget is bounded: when it is exhausted, an append or a reservation
// fails and the caller rejects the work, so that the node stays within its memory limit.
#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace ryeglade {

// Provides buffers of kSize bytes, and limits the bytes of those in use and of all reservations together. Not
// thread-safe.
class BufferPool {
 public:
  static constexpr std::size_t kSize = std::size_t{16} * 1024;  // bytes
  static constexpr std::size_t kMaxFree = 128;                  // number of released buffers kept for reuse
  static constexpr std::size_t kFreeShare = 16;  // but at most one part in so many of the budget
  explicit BufferPool(std::size_t max_bytes) : max_bytes_(max_bytes), trimmed_at_(max_bytes) {}

  // `reclaim` is called when the budget is exhausted. It ends some work that holds memory and can be
  // repeated, and returns false if there is none.
  void AddReclaimer(std::function<bool()> reclaim) { reclaimers_.push_back(std::move(reclaim)); }

  // If the limit is lowered, buffers in use and reservations remain valid, and what is free goes back to the
  // system, as another process is about to use it.
  void SetMaxBytes(std::size_t max_bytes);
  char* Acquire();             // returns nullptr if the budget is exhausted
  void Release(char* buffer);  // takes back a buffer that Acquire returned
  // Counts bytes that are held outside of the pool's buffers. Returns false, and counts nothing, if they
  // exceed the budget.
  bool Reserve(std::size_t bytes);
  // The same for bytes that are held already and whose number the caller bounds.
  void ReserveUnchecked(std::size_t bytes) { reserved_ += bytes; }
  void Unreserve(std::size_t bytes) { reserved_ -= bytes; }

  std::size_t in_use() const { return in_use_; }  // number of buffers
  std::size_t max_bytes() const { return max_bytes_; }
  std::size_t used_bytes() const { return in_use_ * kSize + reserved_; }
  // Returns whether at least half of the budget is used.
  bool HalfUsed() const { return used_bytes() >= max_bytes_ / 2; }
  // Returns whether at least nine tenths of the budget are used.
  bool NearlyExhausted() const { return used_bytes() * 10 >= max_bytes_ * 9; }
  // Returns whether there is memory for another request and its response: a tenth of the budget, for which
  // memory is reclaimed if need be.
  bool MakeHeadroom();

 private:
  std::size_t MaxFree() const { return std::min(kMaxFree, max_bytes_ / kFreeShare / kSize); }
  bool HasRoomFor(std::size_t bytes) const { return used_bytes() + bytes <= max_bytes_; }
  bool MakeRoomFor(std::size_t bytes);
  bool Reclaim();

  std::size_t max_bytes_;
  std::size_t trimmed_at_;    // the limit when free memory last went back to the system
  std::size_t in_use_ = 0;    // number of buffers
  std::size_t reserved_ = 0;  // bytes
  std::vector<std::unique_ptr<char[]>> free_;
  std::vector<std::function<bool()>> reclaimers_;
  bool reclaiming_ = false;  // a reclaimer is running; prevents recursion
};

// A number of bytes that count against the budget until the object is destroyed. Can be moved but not copied.
class MemoryReservation {
 public:
  explicit MemoryReservation(BufferPool* pool) : pool_(pool) {}
  MemoryReservation(MemoryReservation&& other) noexcept;
  MemoryReservation& operator=(MemoryReservation&& other) noexcept;
  MemoryReservation(const MemoryReservation&) = delete;
  MemoryReservation& operator=(const MemoryReservation&) = delete;
  ~MemoryReservation() { pool_->Unreserve(bytes_); }

  // Changes the number of bytes. Returns false, and changes nothing, if the budget is exhausted.
  bool Resize(std::size_t bytes);
  void ResizeUnchecked(std::size_t bytes);  // the caller bounds the number of bytes
  std::size_t bytes() const { return bytes_; }

 private:
  BufferPool* pool_;
  std::size_t bytes_ = 0;
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
