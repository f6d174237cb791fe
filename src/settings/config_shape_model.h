// The shape of a configuration file: its keys and the types of their values. A file whose values have other
// types than the node reads is not taken, and neither is one that lacks a key of the file in force. Pure: no
// I/O, no clock.
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

// Returns the first key that the node reads and whose value has another type than it reads, with what is
// wrong; empty if there is none. A key may be missing, and those that the node does not read may have any
// type.
std::string FindTypeError(const nlohmann::json& file);

// Returns the first key of `in_force` that `loaded` lacks or has with another type, with what is wrong; empty
// if there is none.
std::string FindShapeError(const ConfigShape& in_force, const ConfigShape& loaded);

}  // namespace ryeglade
