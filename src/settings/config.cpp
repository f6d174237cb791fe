#include "settings/config.h"

#include <charconv>
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

std::string Plain(const json& value) {
  if (value.is_null()) return "";
  std::string text = value.is_string() ? value.get<std::string>() : value.dump();
  for (char& c : text) {
    if (c == ' ' || c == ',' || c == '\n' || c == '\r') c = '_';
  }
  return text;
}

void Flatten(const std::string& path, const json& value, std::string& out) {
  if (value.is_object()) {
    for (const auto& [key, item] : value.items()) {
      std::string at = path;
      if (!at.empty()) at += ".";
      at += key;
      Flatten(at, item, out);
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
    for (std::size_t i = 0; i < value.size(); ++i) out += (i > 0 ? "," : "") + Plain(value[i]);
  } else {
    out += Plain(value);
  }
  out += "\n";
}

std::vector<std::string> Names(const json& settings, const char* key) {
  std::vector<std::string> names;
  if (settings.contains(key)) {
    for (const json& name : settings.at(key)) names.push_back(name.get<std::string>());
  }
  return names;
}

std::uint64_t Seed(const json& file) {
  if (!file.contains("seed")) return 0;
  if (file.at("seed").is_number_unsigned()) return file.at("seed").get<std::uint64_t>();
  const auto text = file.at("seed").get<std::string>();
  std::uint64_t seed = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), seed, 16);
  if (error != std::errc() || end != text.data() + text.size()) throw ConfigError("seed is not hexadecimal");
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
    Config c;
    c.name = file.value("name", "");
    c.listen = file.value("listen", "");
    c.discovery = file.value("discovery", "");
    c.management = file.value("management", "");
    c.seed = Seed(file);
    if (file.contains("limits")) {
      c.memory_mb = file.at("limits").value("memory_mb", c.memory_mb);
      c.sockets = file.at("limits").value("sockets", c.sockets);
    }
    if (c.memory_mb < 16 || c.sockets < 64) throw ConfigError("limits are too small to run in");
    if (file.contains("known")) c.known = file.at("known").dump();
    if (!file.contains("settings")) throw ConfigError("settings are missing");
    const json& settings = file.at("settings");
    c.settings_text = FlattenSettings(settings);
    c.settings = policy::wire::ReadSettings(c.settings_text);
    const std::string wrong = WrongSetting(c.settings);
    if (!wrong.empty()) throw ConfigError("settings." + wrong);
    for (std::size_t i = 0; i < c.settings.classes.size(); ++i) c.in_force.push_back(i);
    c.zones = Names(settings, "localities");
    c.kinds = Names(settings, "shapes");
    if (settings.contains("stats")) c.load_fields = Names(settings.at("stats"), "fields");
    if (settings.contains("limits")) c.idle_close = settings.at("limits").value("idle-close", c.idle_close);
    return c;
  } catch (const ConfigError&) {
    throw;
  } catch (const std::exception& e) {
    throw ConfigError(e.what());
  }
}

namespace {

Config LoadFile(const std::string& path, bool discovery_from_file) {
  std::ifstream in(path, std::ios::binary);
  if (!in) throw ConfigError("cannot read " + path);
  const std::string file{std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>()};
  Config c;
  try {
    c = ReadConfig(file);
  } catch (const ConfigError& e) {
    throw ConfigError(path + ": " + e.what());
  }
  c.source = path;
  const auto told = [](const char* variable, std::string& value) {
    const char* text = std::getenv(variable);
    if (text != nullptr && *text != '\0') value = text;
  };
  told("EDGE_NAME", c.name);
  told("EDGE_LISTEN", c.listen);
  if (!discovery_from_file || c.discovery.empty()) told("EDGE_DISCOVERY", c.discovery);
  told("EDGE_MANAGEMENT", c.management);
  sockaddr_storage address{};
  if (!ParseAddress(c.listen, &address)) throw ConfigError("listen is not an ip:port: '" + c.listen + "'");
  if (!c.management.empty() && !ParseAddress(c.management, &address)) {
    throw ConfigError("management is not an ip:port: '" + c.management + "'");
  }
  if (!ParseAddress(c.discovery, &address)) {
    throw ConfigError("discovery is not an ip:port: '" + c.discovery + "'");
  }
  return c;
}

}  // namespace

Config LoadConfig(const std::string& path) {
  const char* named = path.empty() ? std::getenv("EDGE_CONFIG") : path.c_str();
  if (named == nullptr || *named == '\0') throw ConfigError("EDGE_CONFIG is not set");
  return LoadFile(named, false);
}

Config ReloadConfig(const Config& old) { return LoadFile(old.source, true); }

std::string NeedsRestart(const Config& old, const Config& now) {
  std::string what;
  const auto say = [&](bool differs, const char* word) {
    if (differs) what += (what.empty() ? "" : ",") + std::string(word);
  };
  say(old.name != now.name, "name");
  say(old.listen != now.listen, "listen");
  say(old.memory_mb != now.memory_mb || old.sockets != now.sockets, "limits");
  return what;
}

}  // namespace ryeglade
