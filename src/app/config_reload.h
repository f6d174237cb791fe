// Reads the configuration again (SIGHUP) and validates all of it before any of it is applied. If a file is
// missing or invalid, the node keeps serving with the configuration in force.
#pragma once

#include <string>
#include <vector>

#include "settings/class_update_policy.h"
#include "settings/config.h"

namespace ryeglade {

// What a reload found, before any of it is applied.
struct ConfigUpdate {
  Config loaded;                  // the configuration as it is in the file now
  bool settings_changed = false;  // its settings differ from those in force
  ClassTable class_table;         // with the versions that open requests use; empty unless settings_changed
  std::string needs_restart;      // changed fields that take effect only at a start; empty: none
};

// Reads the file of `in_force` again. `edge_settings_file` is only validated, so that an error is reported
// now and not at the next start. It is empty if there is no such file. Throws ConfigError or SettingsError,
// which say what is wrong.
ConfigUpdate LoadConfigUpdate(const Config& in_force, const std::string& edge_settings_file);

// Copies the settings of the update, and nothing else of it, to `in_force`.
void ApplySettings(const ConfigUpdate& update, Config* in_force);

// Returns the classes that new requests may name.
std::vector<policy::ClassSettings> ClassesInForce(const Config& config);

}  // namespace ryeglade
