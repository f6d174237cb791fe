#include "policy/random_source.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(RandomSource, SameSeedSameSequence) {
  RandomSource a(7), b(7), c(8);
  const double first = a.Next();
  EXPECT_EQ(first, b.Next());
  EXPECT_NE(first, c.Next());
  EXPECT_NE(first, a.Next());
}

}  // namespace
}  // namespace ryeglade::policy
