// The ryeglade-holds file, which passes the disabled replicas on over a hot restart: what is written decodes
// to the same state, and anything other than a complete file of this node is rejected.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "core/disabled_replicas_model.h"

namespace ryeglade {
namespace {

DisabledReplicas SampleReplicas() {
  DisabledReplicas replicas;
  replicas.disabled = {{"s-a", 5}, {"s-5be2a07c", 1'796'153'893'361'000}};
  replicas.enabled = {{"s-b", 7}};
  return replicas;
}

TEST(DisabledReplicas, DecodesWhatWasEncoded) {
  std::string error;
  const auto read = DecodeDisabledReplicas(EncodeDisabledReplicas(SampleReplicas(), "n3"), "n3", &error);
  ASSERT_TRUE(read.has_value()) << error;
  EXPECT_EQ(*read, SampleReplicas());
}

TEST(DisabledReplicas, FileOfAnotherNodeIsRejected) {
  std::string error;
  EXPECT_FALSE(
      DecodeDisabledReplicas(EncodeDisabledReplicas(SampleReplicas(), "n3"), "n4", &error).has_value());
  EXPECT_EQ(error, "belongs to node 'n3', not to 'n4'");
}

TEST(DisabledReplicas, MalformedFilesAreRejected) {
  std::string error;
  for (const std::string line : {"out s-a", "out s-a -1", "out s-a 5x", "in s-a 5", "out  5", "out s a 5"}) {
    EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 1 n3\n" + line + "\nend\n", "n3", &error).has_value())
        << line;
  }
  EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 2 n3\nend\n", "n3", &error).has_value());
  EXPECT_FALSE(DecodeDisabledReplicas("ryeglade-holds 1 n3\nend\nout s-a 5\n", "n3", &error).has_value());
  EXPECT_FALSE(DecodeDisabledReplicas("", "n3", &error).has_value());
}

RC_GTEST_PROP(DisabledReplicas, EveryStateSurvivesEncoding,
              (const std::map<std::string, std::int64_t>& out)) {
  DisabledReplicas replicas;
  for (const auto& [name, at] : out) {
    std::string plain;
    for (const char c : name) plain += c > ' ' && c != 0x7f ? c : 'x';
    if (!plain.empty() && plain.size() <= 256) replicas.disabled[plain] = at < 0 ? -(at + 1) : at;
  }
  std::string error;
  const auto read = DecodeDisabledReplicas(EncodeDisabledReplicas(replicas, "n0"), "n0", &error);
  RC_ASSERT(read.has_value());
  RC_ASSERT(*read == replicas);
}

RC_GTEST_PROP(DisabledReplicas, EveryTruncatedFileIsRejected, (unsigned cut)) {
  const std::string text = EncodeDisabledReplicas(SampleReplicas(), "n0");
  const std::size_t length = cut % text.size();  // always shorter than the file
  std::string error;
  RC_ASSERT(!DecodeDisabledReplicas(text.substr(0, length), "n0", &error).has_value());
}

}  // namespace
}  // namespace ryeglade
