#include "settings/class_update_policy.h"

#include <algorithm>
#include <charconv>
#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace ryeglade {
namespace {

bool SameClass(const policy::ClassSettings& a, const policy::ClassSettings& b) {
  return a.name == b.name && a.latency_objective == b.latency_objective && a.time_budget == b.time_budget &&
         a.priority_weight == b.priority_weight && a.late_weight_share == b.late_weight_share &&
         a.idempotency == b.idempotency && a.dedup_scope == b.dedup_scope &&
         a.dedup_window == b.dedup_window && a.streaming == b.streaming &&
         a.objective_per_1000_tokens == b.objective_per_1000_tokens &&
         a.inter_token_objective == b.inter_token_objective;
}

// Flattened settings: the values of the "key=value" lines, by key.
using Lines = std::map<std::string, std::string>;

Lines ParseLines(const std::string& text) {
  Lines lines;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t equals = line.find('=');
    if (equals == std::string_view::npos) continue;
    lines[std::string(line.substr(0, equals))] = std::string(line.substr(equals + 1));
  }
  return lines;
}

bool IsPositive(const std::string& text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value > 0;
}

struct ClassKey {
  std::size_t index = 0;
  std::string name;  // of the key within the class
};

// Splits "classes.3.deadline" into index 3 and name "deadline". Returns nullopt for any other kind of key.
std::optional<ClassKey> ParseClassKey(const std::string& key) {
  constexpr std::string_view kPrefix = "classes.";
  if (!key.starts_with(kPrefix)) return std::nullopt;
  const std::size_t dot = key.find('.', kPrefix.size());
  if (dot == std::string::npos) return std::nullopt;
  ClassKey result;
  const auto [end, error] = std::from_chars(key.data() + kPrefix.size(), key.data() + dot, result.index);
  if (error != std::errc() || end != key.data() + dot) return std::nullopt;
  result.name = key.substr(dot + 1);
  return result;
}

// The keys of some settings, without their values.
struct KeySets {
  std::set<std::string> outside_classes;
  std::map<std::size_t, std::set<std::string>> by_class;
};

KeySets CollectKeys(const Lines& lines) {
  KeySets keys;
  for (const auto& [key, value] : lines) {
    if (const std::optional<ClassKey> class_key = ParseClassKey(key)) {
      keys.by_class[class_key->index].insert(class_key->name);
    } else if (key != "classes.count") {
      keys.outside_classes.insert(key);
    }
  }
  return keys;
}

// Returns the keys that all classes have in common, and those that a class must always have.
std::set<std::string> RequiredClassKeys(const KeySets& keys) {
  std::set<std::string> required;
  for (auto it = keys.by_class.begin(); it != keys.by_class.end(); ++it) {
    if (it == keys.by_class.begin()) {
      required = it->second;
    } else {
      std::erase_if(required, [&](const std::string& key) { return !it->second.contains(key); });
    }
  }
  required.insert({"name", "deadline", "promise"});
  return required;
}

// Returns what is wrong with the class at `index`, or an empty string. `keys` are its keys within the class.
std::string FindClassError(std::size_t index, const std::set<std::string>& keys,
                           const std::set<std::string>& required, const Lines& lines) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  for (const std::string& key : required) {
    if (!keys.contains(key)) return prefix + key + ": is missing; every class needs it";
  }
  if (lines.at(prefix + "name").empty()) return prefix + "name: is empty; name the class";
  for (const char* key : {"deadline", "promise"}) {
    if (IsPositive(lines.at(prefix + key))) continue;
    return prefix + key + ": is not a positive number of microseconds";
  }
  return "";
}

}  // namespace

bool UpdateClasses(ClassTable& table, const std::vector<policy::ClassSettings>& wanted) {
  ClassTable next = table;
  next.active.clear();
  for (const policy::ClassSettings& settings : wanted) {
    std::size_t index = next.classes.size();
    for (std::size_t i = 0; i < next.classes.size(); ++i) {
      if (SameClass(next.classes[i], settings)) index = i;
    }
    if (index == next.classes.size()) {
      if (next.classes.size() == kMaxClassVersions) return false;
      next.classes.push_back(settings);
    }
    next.active.push_back(index);
  }
  table = std::move(next);
  return true;
}

std::string FindSettingsUpdateError(const std::string& in_force, const std::string& wanted) {
  const Lines lines = ParseLines(wanted);
  const KeySets old_keys = CollectKeys(ParseLines(in_force));
  const KeySets new_keys = CollectKeys(lines);
  const auto count = lines.find("classes.count");
  if (count == lines.end() || !IsPositive(count->second) || new_keys.by_class.empty()) {
    return "classes: none are given; name at least one class";
  }
  for (const std::string& key : old_keys.outside_classes) {
    if (!new_keys.outside_classes.contains(key))
      return key + ": is missing; the file in force has it, so give it a value";
  }
  const std::set<std::string> required = RequiredClassKeys(old_keys);
  for (const auto& [index, keys] : new_keys.by_class) {
    std::string error = FindClassError(index, keys, required, lines);
    if (!error.empty()) return error;
  }
  const auto attempts = lines.find("limits.max-attempts");
  if (attempts != lines.end() && !IsPositive(attempts->second)) {
    return "limits.max-attempts: is not a positive number; give 1 or more";
  }
  return "";
}

}  // namespace ryeglade
