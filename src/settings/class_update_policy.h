// Changes of the classes while the node serves (SIGHUP): the new classes are laid over those that open
// requests came with, and settings that can't be used are found. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

struct ClassTable {
  std::vector<policy::ClassSettings> classes;  // by index; an index never changes its meaning
  std::vector<std::size_t> active;             // indices of the classes that new requests may name
};

inline constexpr std::size_t kMaxClassVersions = 256;

// Makes `wanted` the active classes. One that is unchanged keeps its index; one that is new or changed gets a
// new index at the end, so that open requests keep what they came with. False, and `table` unchanged, where
// it would grow past kMaxClassVersions.
bool UpdateClasses(ClassTable& table, const std::vector<policy::ClassSettings>& wanted);

// What is wrong with the flattened settings `wanted`, held against those `in_force`; empty: nothing. Wrong:
// no classes; a class without a name, deadline or promise, or without a key that every class had before; a
// key of the old settings that is gone; a deadline, promise or number of attempts that is not a positive
// number.
std::string FindSettingsUpdateError(const std::string& in_force, const std::string& wanted);

}  // namespace ryeglade
