#include "settings/config_shape_model.h"

#include <nlohmann/json.hpp>
#include <string_view>
#include <utility>
#include <vector>

namespace ryeglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxQuotedBytes = 60;  // of a wrong value in an error

// What a key's value may be.
enum class Expected : std::uint8_t {
  kText,
  kNumber,
  kFlag,  // true, false, 1 or 0
  kList,
  kObject,
  kSeed,  // a number or a text
};

struct ExpectedKey {
  std::string_view name;
  Expected type;
};

using ExpectedKeys = std::vector<ExpectedKey>;

const ExpectedKeys& FileKeys() {
  static const ExpectedKeys keys = {{"name", Expected::kText},      {"listen", Expected::kText},
                                    {"discovery", Expected::kText}, {"management", Expected::kText},
                                    {"seed", Expected::kSeed},      {"limits", Expected::kObject},
                                    {"known", Expected::kObject},   {"settings", Expected::kObject}};
  return keys;
}

const ExpectedKeys& ProcessLimitKeys() {
  static const ExpectedKeys keys = {
      {"cores", Expected::kNumber}, {"memory_mb", Expected::kNumber}, {"sockets", Expected::kNumber}};
  return keys;
}

const ExpectedKeys& SettingsKeys() {
  static const ExpectedKeys keys = {{"classes", Expected::kList},
                                    {"tenants", Expected::kList},
                                    {"localities", Expected::kList},
                                    {"shapes", Expected::kList},
                                    {"balancers", Expected::kNumber},
                                    {"me", Expected::kNumber},
                                    {"az", Expected::kNumber},
                                    {"over-share-worth", Expected::kNumber},
                                    {"membership-mode", Expected::kText},
                                    {"weights", Expected::kText},
                                    {"stats", Expected::kObject},
                                    {"fees", Expected::kObject},
                                    {"limits", Expected::kObject},
                                    {"obligations", Expected::kObject},
                                    {"family-info", Expected::kObject}};
  return keys;
}

// The objects within `settings`.
const std::vector<std::pair<std::string_view, ExpectedKeys>>& SettingsObjects() {
  static const std::vector<std::pair<std::string_view, ExpectedKeys>> objects = {
      {"stats", {{"how", Expected::kText}, {"fields", Expected::kList}}},
      {"fees",
       {{"cross-zone", Expected::kNumber},
        {"waste", Expected::kNumber},
        {"late-fail", Expected::kNumber},
        {"probe", Expected::kNumber},
        {"moves", Expected::kNumber}}},
      {"limits",
       {{"cancel", Expected::kFlag},
        {"probes", Expected::kFlag},
        {"parallel-tries", Expected::kFlag},
        {"retry-after", Expected::kFlag},
        {"max-attempts", Expected::kNumber},
        {"max-retry-after", Expected::kNumber},
        {"connect-timeout", Expected::kNumber},
        {"idle-close", Expected::kNumber}}},
      {"obligations",
       {{"answer-slack", Expected::kNumber},
        {"drain-grace", Expected::kNumber},
        {"ask-within", Expected::kNumber},
        {"cold", Expected::kNumber},
        {"cold-from", Expected::kNumber},
        {"overload-factor", Expected::kNumber},
        {"overload-for", Expected::kNumber}}},
      {"family-info",
       {{"resume", Expected::kFlag},
        {"aim-us-per-1000-prompt-tokens", Expected::kList},
        {"token-aim", Expected::kList}}}};
  return objects;
}

const ExpectedKeys& ClassKeys() {
  static const ExpectedKeys keys = {
      {"name", Expected::kText},         {"effect", Expected::kText},     {"dedup-scope", Expected::kText},
      {"promise", Expected::kNumber},    {"deadline", Expected::kNumber}, {"worth", Expected::kNumber},
      {"late-worth", Expected::kNumber}, {"window", Expected::kNumber},   {"stream", Expected::kFlag}};
  return keys;
}

const ExpectedKeys& TenantKeys() {
  static const ExpectedKeys keys = {
      {"name", Expected::kText}, {"share", Expected::kNumber}, {"quota-per-s", Expected::kNumber}};
  return keys;
}

bool Matches(const json& value, Expected expected) {
  switch (expected) {
    case Expected::kText:
      return value.is_string();
    case Expected::kNumber:
      return value.is_number();
    case Expected::kFlag:
      return value.is_boolean() || value == 0 || value == 1;
    case Expected::kList:
      return value.is_array();
    case Expected::kObject:
      return value.is_object();
    case Expected::kSeed:
      return value.is_number() || value.is_string();
  }
  return false;
}

const char* NameOf(Expected expected) {
  switch (expected) {
    case Expected::kText:
      return "a text";
    case Expected::kNumber:
      return "a finite number";
    case Expected::kFlag:
      return "true or false";
    case Expected::kList:
      return "a list";
    case Expected::kObject:
      return "an object";
    case Expected::kSeed:
      return "a number or a text";
  }
  return "";
}

std::string WrongType(const std::string& path, Expected expected, const json& value) {
  const std::string text = value.is_string() ? value.get<std::string>()
                                             : value.dump(-1, ' ', false, json::error_handler_t::replace);
  return path + " is not " + NameOf(expected) + ": '" + text.substr(0, kMaxQuotedBytes) + "'";
}

// Checks the keys of one object. `path` is the object's own, with a dot at its end unless it is the file.
std::string FindErrorInObject(const std::string& path, const json& object, const ExpectedKeys& keys) {
  for (const ExpectedKey& key : keys) {
    const auto value = object.find(key.name);
    if (value == object.end() || Matches(*value, key.type)) continue;
    return WrongType(path + std::string(key.name), key.type, *value);
  }
  return "";
}

// Checks each item of the list at `key`, which must be an object with these keys.
std::string FindErrorInItems(const json& settings, const char* key, const ExpectedKeys& keys) {
  const auto items = settings.find(key);
  if (items == settings.end()) return "";
  for (std::size_t i = 0; i < items->size(); ++i) {
    const std::string path = "settings." + std::string(key) + "." + std::to_string(i);
    const json& item = items->at(i);
    if (!item.is_object()) return WrongType(path, Expected::kObject, item);
    std::string error = FindErrorInObject(path + ".", item, keys);
    if (!error.empty()) return error;
  }
  return "";
}

// Checks that each item of the list at `key` has this type.
std::string FindErrorInList(const std::string& path, const json& object, const char* key, Expected type) {
  const auto items = object.find(key);
  if (items == object.end()) return "";
  for (std::size_t i = 0; i < items->size(); ++i) {
    if (Matches(items->at(i), type)) continue;
    return WrongType(path + key + "." + std::to_string(i), type, items->at(i));
  }
  return "";
}

std::string FindErrorInSettings(const json& settings) {
  std::string error = FindErrorInObject("settings.", settings, SettingsKeys());
  if (!error.empty()) return error;
  for (const auto& [name, keys] : SettingsObjects()) {
    const auto object = settings.find(name);
    if (object == settings.end()) continue;
    error = FindErrorInObject("settings." + std::string(name) + ".", *object, keys);
    if (!error.empty()) return error;
  }
  const json none = json::object();
  const json& stats = settings.contains("stats") ? settings.at("stats") : none;
  const json& family = settings.contains("family-info") ? settings.at("family-info") : none;
  const std::string in_family = "settings.family-info.";
  for (std::string& found : std::vector<std::string>{
           FindErrorInItems(settings, "classes", ClassKeys()),
           FindErrorInItems(settings, "tenants", TenantKeys()),
           FindErrorInList("settings.", settings, "localities", Expected::kText),
           FindErrorInList("settings.", settings, "shapes", Expected::kText),
           FindErrorInList("settings.stats.", stats, "fields", Expected::kText),
           FindErrorInList(in_family, family, "aim-us-per-1000-prompt-tokens", Expected::kNumber),
           FindErrorInList(in_family, family, "token-aim", Expected::kNumber)}) {
    if (!found.empty()) return std::move(found);
  }
  return "";
}

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

std::string FindTypeError(const json& file) {
  if (!file.is_object()) return "the file holds no JSON object";
  std::string error = FindErrorInObject("", file, FileKeys());
  if (!error.empty()) return error;
  if (file.contains("limits")) error = FindErrorInObject("limits.", file.at("limits"), ProcessLimitKeys());
  if (!error.empty() || !file.contains("settings")) return error;
  return FindErrorInSettings(file.at("settings"));
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
