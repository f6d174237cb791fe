// The shape of a configuration file: its keys and the types of their values. A file that lacks a key of the file
// in force is not taken. Pure: no I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>

namespace ryeglade {

// The type of a JSON value. Whole and other numbers are one type.
enum class ValueType : std::uint8_t { kNull, kBoolean, kNumber, kText, kList, kObject };

// The dotted paths of all keys of a file, each with the type of its value. What is in lists is left out.
using ConfigShape = std::map<std::string, ValueType>;

ConfigShape ShapeOf(const nlohmann::json& file);

// Returns the first key of `in_force` that `loaded` lacks or has with another type, with what is wrong; empty
// if there is none.
std::string FindShapeError(const ConfigShape& in_force, const ConfigShape& loaded);

}  // namespace ryeglade
