// The holds file that passes over a hot restart: what is written reads back the same, and anything less than
// a whole file of this node reads as nothing.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "core/disabled_replicas_model.h"

namespace ryeglade {
namespace {

DisabledReplicas Some() {
  DisabledReplicas h;
  h.disabled = {{"s-a", 5}, {"s-5be2a07c", 1'796'153'893'361'000}};
  h.enabled = {{"s-b", 7}};
  return h;
}

TEST(DisabledReplicas, ReadsBackWhatWasWritten) {
  std::string why;
  const auto read = DecodeDisabledReplicas(EncodeDisabledReplicas(Some(), "n3"), "n3", &why);
  ASSERT_TRUE(read.has_value()) << why;
  EXPECT_EQ(*read, Some());
}

TEST(DisabledReplicas, AnotherNodesFileIsPassedOver) {
  std::string why;
  EXPECT_FALSE(DecodeDisabledReplicas(EncodeDisabledReplicas(Some(), "n3"), "n4", &why).has_value());
  EXPECT_EQ(why, "belongs to another node");
}

TEST(DisabledReplicas, WhatIsNotAPlainLineIsPassedOver) {
  std::string why;
  for (const std::string line : {"out s-a", "out s-a -1", "out s-a 5x", "in s-a 5", "out  5", "out s a 5"}) {
    EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 1 n3\n" + line + "\nend\n", "n3", &why).has_value())
        << line;
  }
  EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 2 n3\nend\n", "n3", &why).has_value());
  EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 1 n3\nend\nout s-a 5\n", "n3", &why).has_value());
  EXPECT_FALSE(DecodeDisabledReplicas("", "n3", &why).has_value());
}

RC_GTEST_PROP(DisabledReplicas, AnyWholeFileReadsBack, (const std::map<std::string, std::int64_t>& out)) {
  DisabledReplicas h;
  for (const auto& [name, at] : out) {
    std::string plain;
    for (const char c : name) plain += c > ' ' && c != 0x7f ? c : 'x';
    if (!plain.empty() && plain.size() <= 256) h.disabled[plain] = at < 0 ? -(at + 1) : at;
  }
  std::string why;
  const auto read = DecodeDisabledReplicas(EncodeDisabledReplicas(h, "n0"), "n0", &why);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == h);
}

RC_GTEST_PROP(DisabledReplicas, EveryTornFileIsPassedOver, (unsigned cut)) {
  const std::string text = EncodeDisabledReplicas(Some(), "n0");
  const std::size_t at = cut % text.size();  // shorter than whole
  std::string why;
  RC_ASSERT(!DecodeDisabledReplicas(text.substr(0, at), "n0", &why).has_value());
}

}  // namespace
}  // namespace ryeglade
