#include "settings/config_shape_model.h"

#include <nlohmann/json.hpp>

namespace ryeglade {
namespace {

using nlohmann::json;

ValueType TypeOf(const json& value) {
  if (value.is_object()) return ValueType::kObject;
  if (value.is_array()) return ValueType::kList;
  if (value.is_string()) return ValueType::kText;
  if (value.is_number()) return ValueType::kNumber;
  return value.is_boolean() ? ValueType::kBoolean : ValueType::kNull;
}

void AddKeys(const std::string& path, const json& object, ConfigShape* shape) {
  for (const auto& [key, value] : object.items()) {
    const std::string key_path = path + key;
    (*shape)[key_path] = TypeOf(value);
    if (value.is_object()) AddKeys(key_path + ".", value, shape);
  }
}

}  // namespace

ConfigShape ShapeOf(const json& file) {
  ConfigShape shape;
  AddKeys("", file, &shape);
  return shape;
}

std::string FindShapeError(const ConfigShape& in_force, const ConfigShape& loaded) {
  for (const auto& [path, type] : in_force) {
    const auto found = loaded.find(path);
    if (found == loaded.end()) {
      return path + ": is missing; the file in force has it, so give it a value";
    }
    if (found->second != type) return path + ": has another type than in the file in force";
  }
  return "";
}

}  // namespace ryeglade
