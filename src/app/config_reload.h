// Reads the configuration again (SIGHUP) and validates all of it before any of it is applied, so that a file
// that is missing or wrong leaves the node serving with what is in force.
#pragma once

#include <string>
#include <vector>

#include "settings/class_update_policy.h"
#include "settings/config.h"

namespace ryeglade {

struct ConfigUpdate {
  Config loaded;
  bool settings_changed = false;
  ClassTable class_table;  // the classes with those that open requests came with; of use if settings_changed
  std::string needs_restart;  // what differs but takes effect only at a start; empty: nothing
};

// `edge_settings_file` is only checked, so that an error shows now and not at the next start; empty: there is
// none. Throws ConfigError or SettingsError, saying what is wrong.
ConfigUpdate LoadConfigUpdate(const Config& in_force, const std::string& edge_settings_file);

// Takes the update's settings, and nothing else of it, into `in_force`.
void ApplySettings(const ConfigUpdate& update, Config* in_force);

// The classes that new requests may name.
std::vector<policy::ClassSettings> ClassesInForce(const Config& config);

}  // namespace ryeglade
