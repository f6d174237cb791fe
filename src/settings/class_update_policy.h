// Retuning: the classes that a new settings file asks for, laid over those that requests still open were
// taken under. Pure: no I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

struct ClassTable {
  std::vector<policy::ClassSettings> classes;  // by index; an index never changes its meaning
  std::vector<std::size_t> in_force;           // the indices that new requests may name
};

inline constexpr std::size_t kMostClassVersions = 256;

// A class that is unchanged keeps its index; one that is new or changed gets a new one at the end, so that
// open requests keep what they came with. False where the table would grow past kMostClassVersions.
bool Retune(ClassTable& table, const std::vector<policy::ClassSettings>& wanted);

// What is wrong with the flattened settings `now`, measured against those in force, `old`; empty: nothing.
// Broken: no classes; a class without a name, deadline or promise, or without a key that every class had
// before; a key of the old settings that is gone; a deadline, promise or number of attempts that is not a
// positive number.
std::string CheckRetune(const std::string& old, const std::string& now);

}  // namespace ryeglade
