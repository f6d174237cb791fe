#include "settings/config.h"

#include <charconv>
#include <cmath>
#include <cstdlib>
#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>

#include "base/tcp.h"
#include "settings.h"
#include "settings/settings_check_model.h"

namespace ryeglade {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxLimit = std::size_t{1} << 30;  // MiB or descriptors: more than any machine has

// Returns a value as it is written in a line of flattened settings. Spaces, commas and line ends separate
// values there, so those within a text become underscores.
std::string FlatValue(const json& value) {
  if (value.is_null()) return "";
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

// Appends the lines of `value`, whose key in the settings is the dotted `path`.
void Flatten(const std::string& path, const json& value, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      std::string item_path = path;
      if (!item_path.empty()) item_path += ".";
      item_path += key;
      Flatten(item_path, item, out);
    }
    return;
  }
  if (value.is_array() && !value.empty() && value.front().is_object()) {
    out += path + ".count=" + std::to_string(value.size()) + "\n";
    for (std::size_t i = 0; i < value.size(); ++i) Flatten(path + "." + std::to_string(i), value[i], out);
    return;
  }
  out += path + "=";
  if (value.is_array()) {
    for (std::size_t i = 0; i < value.size(); ++i) out += (i > 0 ? "," : "") + FlatValue(value[i]);
  } else {
    out += FlatValue(value);
  }
  out += "\n";
}

// Returns the list of texts at `key`; empty if the settings have no such key.
std::vector<std::string> ReadNames(const json& settings, const char* key) {
  std::vector<std::string> names;
  if (settings.contains(key)) {
    for (const json& name : settings.at(key)) names.push_back(name.get<std::string>());
  }
  return names;
}

// Reads a limit of the process; `fallback` if the file gives none.
std::size_t ReadLimit(const json& limits, const char* key, std::size_t fallback) {
  if (!limits.contains(key)) return fallback;
  const json& value = limits.at(key);
  const bool whole =
      value.is_number_unsigned() || (value.is_number_float() && value == std::floor(value.get<double>()));
  if (!whole || value < 0 || value > kMaxLimit) {
    throw ConfigError("limits." + std::string(key) + " is " + value.dump() + "; give a whole number up to " +
                      std::to_string(kMaxLimit));
  }
  return value.get<std::size_t>();
}

// `seed` is a number, or a text of hexadecimal digits. Returns 0 if it is absent.
std::uint64_t ReadSeed(const json& file) {
  if (!file.contains("seed")) return 0;
  if (file.at("seed").is_number_unsigned()) return file.at("seed").get<std::uint64_t>();
  const auto text = file.at("seed").get<std::string>();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size())
    throw ConfigError("seed is '" + text + "'; give a number, or a text of 1 to 16 hexadecimal digits");
  return seed;
}

}  // namespace

std::string FlattenSettings(const json& settings) {
  std::string out;
  Flatten("", settings, out);
  return out;
}

Config ReadConfig(const std::string& text) {
  try {
    const json file = json::parse(text);
    const std::string type_error = FindTypeError(file);
    if (!type_error.empty()) throw ConfigError(type_error);
    Config config;
    config.shape = ShapeOf(file);
    config.name = file.value("name", "");
    config.listen = file.value("listen", "");
    config.discovery = file.value("discovery", "");
    config.management = file.value("management", "");
    config.seed = ReadSeed(file);
    if (file.contains("limits")) {
      config.memory_mb = ReadLimit(file.at("limits"), "memory_mb", config.memory_mb);
      config.sockets = ReadLimit(file.at("limits"), "sockets", config.sockets);
    }
    if (config.memory_mb < 16 || config.sockets < 64)
      throw ConfigError("limits are too small: memory_mb is " + std::to_string(config.memory_mb) +
                        " and must be at least 16, sockets is " + std::to_string(config.sockets) +
                        " and must be at least 64");
    if (file.contains("known")) config.known_endpoints = file.at("known").dump();
    if (!file.contains("settings")) throw ConfigError("settings are missing; add the object `settings`");
    const json& settings = file.at("settings");
    config.settings_text = FlattenSettings(settings);
    config.settings = policy::wire::ReadSettings(config.settings_text);
    const std::string error = FindInvalidSetting(config.settings);
    if (!error.empty()) throw ConfigError("settings." + error);
    for (std::size_t i = 0; i < config.settings.classes.size(); ++i) config.active_classes.push_back(i);
    config.zones = ReadNames(settings, "localities");
    config.replica_kinds = ReadNames(settings, "shapes");
    if (settings.contains("stats")) config.load_fields = ReadNames(settings.at("stats"), "fields");
    if (settings.contains("limits"))
      config.idle_timeout = settings.at("limits").value("idle-close", config.idle_timeout);
    if (config.idle_timeout < 0) {
      throw ConfigError(
          "settings.limits.idle-close is negative; give "
          "microseconds");
    }
    return config;
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& e) {
    throw ConfigError(e.what());
  }
}

namespace {

// With `discovery_from_file`, the file's `discovery`, if it has one, takes precedence over EDGE_DISCOVERY.
Config LoadFile(const std::string& path, bool discovery_from_file) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read " + path + "; check that it exists and is readable");
  const std::string text{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  Config config;
  try {
    config = ReadConfig(text);
  } catch (const ConfigError& e) {
    throw ConfigError(path + ": " + e.what());
  }
  config.source_file = path;
  const auto override_from = [](const char* variable, std::string& value) {
    const char* from_environment = std::getenv(variable);
    if (from_environment != nullptr && *from_environment != '\0') value = from_environment;
  };
  override_from("EDGE_NAME", config.name);
  override_from("EDGE_LISTEN", config.listen);
  if (!discovery_from_file || config.discovery.empty()) override_from("EDGE_DISCOVERY", config.discovery);
  override_from("EDGE_MANAGEMENT", config.management);
  sockaddr_storage address{};
  if (!ParseAddress(config.listen, &address))
    throw ConfigError("listen is not an ip:port: '" + config.listen + "'; correct it in " + path +
                      " or in EDGE_LISTEN");
  if (!config.management.empty() && !ParseAddress(config.management, &address)) {
    throw ConfigError("management is not an ip:port: '" + config.management + "'; correct it in " + path +
                      " or in EDGE_MANAGEMENT");
  }
  if (!ParseAddress(config.discovery, &address)) {
    throw ConfigError("discovery is not an ip:port: '" + config.discovery + "'; correct it in " + path +
                      " or in EDGE_DISCOVERY");
  }
  return config;
}

}  // namespace

Config LoadConfig(const std::string& path) {
  const char* file = path.empty() ? std::getenv("EDGE_CONFIG") : path.c_str();
  if (file == nullptr || *file == '\0')
    throw ConfigError("EDGE_CONFIG is not set; set it, or name the file with --config");
  return LoadFile(file, false);
}

Config ReloadConfig(const Config& in_force) { return LoadFile(in_force.source_file, true); }

std::string ChangesNeedingRestart(const Config& in_force, const Config& loaded) {
  std::string names;
  const auto add_if = [&](bool differs, const char* name) {
    if (!differs) return;
    if (!names.empty()) names += ",";
    names += name;
  };
  add_if(in_force.name != loaded.name, "name");
  add_if(in_force.listen != loaded.listen, "listen");
  add_if(in_force.memory_mb != loaded.memory_mb || in_force.sockets != loaded.sockets, "limits");
  return names;
}

}  // namespace ryeglade
