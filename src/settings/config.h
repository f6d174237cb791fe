// The platform's configuration: the JSON file that EDGE_CONFIG names, and the environment variables EDGE_*
// that override it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json_fwd.hpp>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include "ryeglade/router.h"
#include "settings/config_shape_model.h"

namespace ryeglade {

// The configuration can't be read or is invalid. what() names the setting and what is wrong with it.
class ConfigError : public std::runtime_error {
 public:
  using std::runtime_error::runtime_error;
};

struct Config {
  std::string source_file;      // path of the JSON file; empty if the configuration was not read from a file
  std::string name;             // node name; may be empty
  std::string listen;           // ip:port of the platform's clients
  std::string discovery;        // ip:port of the discovery service
  std::string management;       // ip:port of the admin listener; empty: there is none
  std::uint64_t seed = 0;       // of the decision module's random numbers; 0 if the file gives none
  std::size_t memory_mb = 192;  // memory limit of the process in MiB; at least 16
  std::size_t sockets = 1024;   // the maximum number of descriptors of the process; at least 64
  std::string known_endpoints;  // `known`: an endpoint list in discovery's JSON form; empty: none is given
  ConfigShape shape;            // of the file that was read
  std::string settings_text;    // `settings` of the file, flattened by FlattenSettings
  // `settings.classes` only grows: after a SIGHUP it also holds the earlier versions that open requests use.
  policy::Settings settings;
  std::vector<std::size_t> active_classes;  // indices of the classes that new requests may name
  policy::Time idle_timeout = 5'000'000;    // microseconds after which an idle client connection is closed
  std::vector<std::string> zones;           // zone names by index, from the key `localities`
  std::vector<std::string> replica_kinds;   // names of replica kinds by index, from the key `shapes`
  std::vector<std::string> load_fields;     // fields of a load report by index, from the key `stats.fields`

  // Returns the index of the active class of that name, or -1 if there is none.
  int ClassIndex(std::string_view class_name) const {
    for (const std::size_t i : active_classes) {
      if (settings.classes[i].name == class_name) return static_cast<int>(i);
    }
    return -1;
  }
};

// Flattens the settings object to lines "key=value", the form in which the simulator's first message has
// them, so that one reader serves both.
std::string FlattenSettings(const nlohmann::json& settings);

// Parses the text of a configuration file, without the environment variables. Throws ConfigError.
Config ReadConfig(const std::string& text);
// Reads the file at `path`, or the one that EDGE_CONFIG names if `path` is empty. Throws ConfigError.
Config LoadConfig(const std::string& path);
// Reads the file of `in_force` again. Unlike at the start, `discovery` in the file takes precedence over
// EDGE_DISCOVERY. Throws ConfigError.
Config ReloadConfig(const Config& in_force);
// Returns the names, separated by commas, of the fields that differ and take effect only at a start. Empty:
// none.
std::string ChangesNeedingRestart(const Config& in_force, const Config& loaded);

}  // namespace ryeglade
