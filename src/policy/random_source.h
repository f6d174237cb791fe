// A seeded sequence of uniformly distributed random numbers. The same seed yields the same sequence.
#pragma once

#include <cstdint>

#include "hashing.h"

namespace ryeglade::policy {

class RandomSource {
 public:
  explicit RandomSource(std::uint64_t seed) : state_(Mix64(seed)) {}

  // Returns the next number, in (0, 1].
  double Next() {
    state_ = Mix64(state_);
    return UnitInterval(state_);
  }

 private:
  std::uint64_t state_;
};

}  // namespace ryeglade::policy
