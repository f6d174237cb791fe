// The platform's configuration: the JSON file that EDGE_CONFIG names, and the EDGE_* variables over it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"

namespace ryeglade {

class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string source_file;
  std::string name;        // of the node
  std::string listen;      // ip:port
  std::string discovery;   // ip:port
  std::string management;  // ip:port of the admin listener; empty: none
  std::uint64_t seed = 0;
  std::size_t memory_mb = 192;  // at least 16
  std::size_t sockets = 1024;   // descriptors; at least 64
  std::string known_endpoints;  // `known`: an endpoint list in discovery's form; empty: none
  std::string settings_text;    // flattened
  policy::Settings settings;    // classes by index: after a SIGHUP also those that open requests came with
  std::vector<std::size_t> active_classes;  // indices of the classes that new requests may name
  policy::Time idle_timeout = 5'000'000;    // of a client's connection, in microseconds
  std::vector<std::string> zones;           // `localities`, by index
  std::vector<std::string> replica_kinds;   // `shapes`, by index
  std::vector<std::string> load_fields;     // of the load reports, by index

  // The active class of that name; -1: none.
  int ClassIndex(std::string_view class_name) const {
    for (const std::size_t i : active_classes) {
      if (settings.classes[i].name == class_name) return static_cast<int>(i);
    }
    return -1;
  }
};

// The settings object as the lines that the simulator's first message holds, so that one reader serves both.
std::string FlattenSettings(const nlohmann::json& settings);

// From the file's text, without the environment. Throws ConfigError.
Config ReadConfig(const std::string& text);
// `path` empty: the file that EDGE_CONFIG names. Throws ConfigError.
Config LoadConfig(const std::string& path);
// Reads the same file again: its `discovery`, if it names one, now comes before the variable. Throws
// ConfigError.
Config ReloadConfig(const Config& in_force);
// Names, separated by commas, of what differs and takes effect only at a start; empty: nothing.
std::string ChangesNeedingRestart(const Config& in_force, const Config& loaded);

}  // namespace ryeglade
