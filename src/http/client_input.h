// The bytes of one client connection that were read and not parsed yet. Their number is bounded, and they
// count against the memory budget.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

#include "base/buffer_pool.h"
#include "base/deadlines.h"
#include "http/arrival_log.h"

namespace ryeglade {

// The owner reads at most ReadSize bytes at once, and stops reading while the input is full.
class ClientInput {
 public:
  // `pool` is not owned.
  explicit ClientInput(BufferPool* pool) : pool_(pool), reservation_(pool) {}

  // Whether no more may be read before some of the bytes have been consumed. While the memory budget is half
  // used, that is so with fewer bytes.
  bool full() const { return bytes().size() >= Limit(); }
  std::size_t ReadSize() const;  // how many bytes may be read at once; never 0
  void Append(std::string_view bytes, Time now);

  bool empty() const { return bytes().empty(); }
  // The view is valid until the input is changed.
  std::string_view bytes() const { return std::string_view(text_).substr(begin_); }
  // Returns when the first byte was read, or `now` if there is none.
  Time FirstByteAt(Time now) const { return arrivals_.First(now); }
  void Consume(std::size_t bytes);  // removes the first bytes
  void Clear();

 private:
  std::size_t Limit() const;

  BufferPool* pool_;
  std::string text_;       // ends with the bytes that are not parsed yet
  std::size_t begin_ = 0;  // offset in `text_` of the first of them
  ArrivalLog arrivals_;    // when they were read
  MemoryReservation reservation_;
};

}  // namespace ryeglade
