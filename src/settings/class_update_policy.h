// Updates the request classes while the node serves (SIGHUP): validates the new settings, and adds the new
// classes to the table without changing those that open requests use. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

// All versions of the request classes, and which of them are in force.
struct ClassTable {
  std::vector<policy::ClassSettings> classes;  // only appended to, so that an index keeps its meaning
  std::vector<std::size_t> active;             // indices of the classes that new requests may name
};

// Maximum size of ClassTable::classes, which holds all versions of all classes since the process started.
inline constexpr std::size_t kMaxClassVersions = 256;

// Makes `wanted` the active classes. An unchanged class keeps its index; a new or changed one gets a new
// index at the end, so that open requests keep the class settings that they started with. Returns false and
// leaves `table` unchanged if it would exceed kMaxClassVersions.
bool UpdateClasses(ClassTable& table, const std::vector<policy::ClassSettings>& wanted);

// Compares the flattened settings `wanted` with those `in_force`. Returns the first error, or an empty string
// if `wanted` can be applied. Errors are: no classes; a class without a name, deadline or promise, or without
// a key that all classes in force have; a key outside the classes that is in force and missing from `wanted`;
// a deadline, promise or max-attempts that is not a positive number.
std::string FindSettingsUpdateError(const std::string& in_force, const std::string& wanted);

}  // namespace ryeglade
