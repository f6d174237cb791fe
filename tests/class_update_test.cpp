// Updates of the classes while a node serves: which settings are rejected as a whole, and that an index of
// the class table keeps its meaning.
#include <gtest/gtest.h>

#include <string>

#include "settings/class_update_policy.h"

namespace ryeglade {
namespace {

// The settings that the node was started with.
const std::string kInForce =
    "classes.count=2\nclasses.0.name=docs\nclasses.0.deadline=5000000\nclasses.0.promise=1000000\n"
    "classes.0.effect=free\nclasses.1.name=agent\nclasses.1.deadline=7500000\nclasses.1.promise=1500000\n"
    "classes.1.effect=free\nlimits.max-attempts=6\nlimits.idle-close=5000000\n";

// Returns `text` with the first occurrence of `from` replaced by `to`.
std::string Replaced(std::string text, const std::string& from, const std::string& to) {
  const std::size_t at = text.find(from);
  if (at != std::string::npos) text.replace(at, from.size(), to);
  return text;
}

TEST(ClassUpdate, AcceptsCompleteSettings) {
  EXPECT_EQ(FindSettingsUpdateError(kInForce, kInForce), "");
  EXPECT_EQ(
      FindSettingsUpdateError(kInForce, Replaced(kInForce, "limits.max-attempts=6", "limits.max-attempts=2")),
      "");
}

TEST(ClassUpdate, RejectsBrokenSettings) {
  EXPECT_NE(FindSettingsUpdateError(kInForce, ""), "");
  EXPECT_NE(FindSettingsUpdateError(kInForce, kInForce.substr(0, kInForce.size() / 2)), "");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "classes.1.deadline=7500000\n", "")),
            "classes.1.deadline: is missing; every class needs it");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "classes.1.effect=free\n", "")),
            "classes.1.effect: is missing; every class needs it");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "limits.idle-close=5000000\n", "")),
            "limits.idle-close: is missing; the file in force has it, so give it a value");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "deadline=5000000", "deadline=0")),
            "classes.0.deadline: is not a positive number of microseconds");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "deadline=5000000", "deadline=-1")),
            "classes.0.deadline: is not a positive number of microseconds");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "max-attempts=6", "max-attempts=0")),
            "limits.max-attempts: is not a positive number; give 1 or more");
  EXPECT_EQ(FindSettingsUpdateError(kInForce, Replaced(kInForce, "classes.count=2", "classes.count=0")),
            "classes: none are given; name at least one class");
}

policy::ClassSettings Class(const std::string& name,
                            policy::Idempotency idempotency = policy::Idempotency::kIdempotent) {
  policy::ClassSettings c;
  c.name = name;
  c.idempotency = idempotency;
  return c;
}

TEST(ClassUpdate, KeepsIndicesAndAppendsChangedClasses) {
  ClassTable table{{Class("docs"), Class("agent")}, {0, 1}};
  ASSERT_TRUE(UpdateClasses(table, {Class("agent"), Class("desk")}));  // docs dropped, desk added
  EXPECT_EQ(table.classes.size(), 3U);
  EXPECT_EQ(table.active, (std::vector<std::size_t>{1, 2}));
  // A changed class gets a new index; the old one keeps the settings that open requests started with.
  ASSERT_TRUE(UpdateClasses(table, {Class("agent", policy::Idempotency::kNotIdempotent)}));
  EXPECT_EQ(table.classes.size(), 4U);
  EXPECT_EQ(table.active, (std::vector<std::size_t>{3}));
  EXPECT_EQ(table.classes[1].idempotency, policy::Idempotency::kIdempotent);
}

TEST(ClassUpdate, BoundsTheTable) {
  ClassTable table{{Class("c")}, {0}};
  for (std::size_t i = 1; i < kMaxClassVersions; ++i)
    ASSERT_TRUE(UpdateClasses(table, {Class("c" + std::to_string(i))}));
  const ClassTable before = table;
  EXPECT_FALSE(UpdateClasses(table, {Class("new")}));
  EXPECT_EQ(table.active, before.active);
}

}  // namespace
}  // namespace ryeglade
