#include "app/config_reload.h"

#include "settings/edge_settings.h"

namespace ryeglade {
namespace {

// Returns the table in force with the loaded classes active. Throws ConfigError if they can't be applied.
ClassTable UpdatedClassTable(const Config& in_force, const Config& loaded) {
  const std::string error = FindSettingsUpdateError(in_force.settings_text, loaded.settings_text);
  if (!error.empty()) throw ConfigError("settings." + error);
  ClassTable table{in_force.settings.classes, in_force.active_classes};
  if (!UpdateClasses(table, loaded.settings.classes)) {
    throw ConfigError("settings.classes: more than " + std::to_string(kMaxClassVersions) +
                      " different versions of classes since the process started; restart the node");
  }
  return table;
}

}  // namespace

ConfigUpdate LoadConfigUpdate(const Config& in_force, const std::string& edge_settings_file) {
  ConfigUpdate update;
  update.loaded = ReloadConfig(in_force);
  const std::string shape_error = FindShapeError(in_force.shape, update.loaded.shape);
  if (!shape_error.empty()) throw ConfigError(shape_error);
  update.settings_changed = update.loaded.settings_text != in_force.settings_text;
  if (update.settings_changed) update.class_table = UpdatedClassTable(in_force, update.loaded);
  if (!edge_settings_file.empty()) {
    LoadEdgeSettings(edge_settings_file, ClassNames(update.loaded.settings));
  }
  update.needs_restart = ChangesNeedingRestart(in_force, update.loaded);
  return update;
}

void ApplySettings(const ConfigUpdate& update, Config* in_force) {
  in_force->settings.classes = update.class_table.classes;
  in_force->active_classes = update.class_table.active;
  in_force->settings.max_attempts = update.loaded.settings.max_attempts;
  in_force->settings_text = update.loaded.settings_text;
}

std::vector<policy::ClassSettings> ClassesInForce(const Config& config) {
  std::vector<policy::ClassSettings> classes;
  for (const std::size_t i : config.active_classes) classes.push_back(config.settings.classes[i]);
  return classes;
}

}  // namespace ryeglade
