#include "policy/hashing.h"

#include <gtest/gtest.h>

#include <limits>

namespace ryeglade::policy {
namespace {

TEST(Hashing, UnitIntervalExcludesZero) {
  EXPECT_GT(UnitInterval(0), 0);
  EXPECT_LE(UnitInterval(std::numeric_limits<std::uint64_t>::max()), 1);
}

TEST(Hashing, RendezvousPrefersReplicasInProportionToTheirWeight) {
  int heavy_first = 0;
  constexpr int kKeys = 20'000;
  for (int key = 1; key <= kKeys; ++key) {
    const auto k = static_cast<std::uint64_t>(key);
    if (RendezvousScore(k, 1, 3.0) > RendezvousScore(k, 2, 1.0)) ++heavy_first;
  }
  EXPECT_NEAR(heavy_first / static_cast<double>(kKeys), 0.75, 0.02);
}

}  // namespace
}  // namespace ryeglade::policy
