// A table of numbered slots. A Handle identifies a slot and the generation of the value in it, so that a late
// callback for a value that has been removed finds nothing and does nothing.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <utility>
#include <vector>

namespace ryeglade {

using Handle = std::uint64_t;  // generation in the upper 32 bits, slot in the lower 32; 0 for no value

// Owns its values. A pointer from Get is valid until the value is removed.
template <class T>
class SlotTable {
 public:
  // Returns the handle of the added value.
  Handle Add(T value) {
    if (free_.empty()) {
      free_.push_back(static_cast<std::uint32_t>(slots_.size()));
      slots_.emplace_back();
    }
    const std::uint32_t at = free_.back();
    free_.pop_back();
    Slot& slot = slots_[at];
    slot.value.emplace(std::move(value));
    ++size_;
    return (Handle{slot.generation} << 32) | at;
  }

  // Returns nullptr if the value has been removed or the handle is 0.
  T* Get(Handle handle) {
    const auto at = static_cast<std::uint32_t>(handle);
    if (at >= slots_.size()) return nullptr;
    Slot& slot = slots_[at];
    return slot.value && slot.generation == handle >> 32 ? &*slot.value : nullptr;
  }

  const T* Get(Handle handle) const { return const_cast<SlotTable*>(this)->Get(handle); }

  // Does nothing if the value has already been removed.
  void Remove(Handle handle) {
    if (Get(handle) == nullptr) return;
    const auto at = static_cast<std::uint32_t>(handle);
    slots_[at].value.reset();
    if (++slots_[at].generation == 0) slots_[at].generation = 1;
    free_.push_back(at);
    --size_;
  }

  std::size_t size() const { return size_; }

  // Returns the handles of all values, in the order of their slots.
  std::vector<Handle> All() const {
    std::vector<Handle> all;
    for (std::size_t at = 0; at < slots_.size(); ++at) {
      if (slots_[at].value) all.push_back((Handle{slots_[at].generation} << 32) | at);
    }
    return all;
  }

 private:
  // One slot, with the generation of the value that is in it or will be put into it next.
  struct Slot {
    std::uint32_t generation = 1;
    std::optional<T> value;
  };
  std::deque<Slot> slots_;           // a deque, so that pointers remain valid while the table grows
  std::vector<std::uint32_t> free_;  // indices of the slots without a value
  std::size_t size_ = 0;
};

}  // namespace ryeglade
