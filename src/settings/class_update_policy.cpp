#include "settings/class_update_policy.h"

#include <charconv>
#include <map>
#include <set>
#include <string_view>

namespace ryeglade {
namespace {

bool Same(const policy::ClassSettings& a, const policy::ClassSettings& b) {
  return a.name == b.name && a.latency_objective == b.latency_objective && a.time_budget == b.time_budget &&
         a.priority_weight == b.priority_weight && a.late_weight_share == b.late_weight_share &&
         a.idempotency == b.idempotency && a.dedup_scope == b.dedup_scope &&
         a.dedup_window == b.dedup_window && a.streaming == b.streaming &&
         a.objective_per_1000_tokens == b.objective_per_1000_tokens &&
         a.inter_token_objective == b.inter_token_objective;
}

using Lines = std::map<std::string, std::string>;

Lines Read(const std::string& text) {
  Lines lines;
  std::string_view rest = text;
  while (!rest.empty()) {
    const std::size_t end = std::min(rest.find('\n'), rest.size());
    const std::string_view line = rest.substr(0, end);
    rest.remove_prefix(std::min(end + 1, rest.size()));
    const std::size_t eq = line.find('=');
    if (eq != std::string_view::npos)
      lines[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
  }
  return lines;
}

bool Positive(const std::string& text) {
  double value = 0;
  const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
  return error == std::errc() && end == text.data() + text.size() && value > 0;
}

// "classes.3.deadline" -> class 3, key "deadline"; false for any other key.
bool ClassKey(const std::string& key, std::size_t* index, std::string* rest) {
  constexpr std::string_view kHead = "classes.";
  if (key.rfind(kHead, 0) != 0) return false;
  const std::size_t dot = key.find('.', kHead.size());
  if (dot == std::string::npos) return false;
  const auto [end, error] = std::from_chars(key.data() + kHead.size(), key.data() + dot, *index);
  if (error != std::errc() || end != key.data() + dot) return false;
  *rest = key.substr(dot + 1);
  return true;
}

struct Shape {
  std::set<std::string> plain;                              // keys outside the classes
  std::map<std::size_t, std::set<std::string>> class_keys;  // by class
};

Shape ShapeOf(const Lines& lines) {
  Shape shape;
  for (const auto& [key, value] : lines) {
    std::size_t index = 0;
    std::string rest;
    if (ClassKey(key, &index, &rest)) {
      shape.class_keys[index].insert(rest);
    } else if (key != "classes.count") {
      shape.plain.insert(key);
    }
  }
  return shape;
}

}  // namespace

bool Retune(ClassTable& table, const std::vector<policy::ClassSettings>& wanted) {
  ClassTable next = table;
  next.in_force.clear();
  for (const policy::ClassSettings& c : wanted) {
    std::size_t at = next.classes.size();
    for (std::size_t i = 0; i < next.classes.size(); ++i) {
      if (Same(next.classes[i], c)) at = i;
    }
    if (at == next.classes.size()) {
      if (next.classes.size() == kMostClassVersions) return false;
      next.classes.push_back(c);
    }
    next.in_force.push_back(at);
  }
  table = std::move(next);
  return true;
}

std::string CheckRetune(const std::string& old, const std::string& now) {
  const Lines was = Read(old), is = Read(now);
  const Shape before = ShapeOf(was), after = ShapeOf(is);
  const auto count = is.find("classes.count");
  if (count == is.end() || !Positive(count->second) || after.class_keys.empty()) {
    return "classes: none are given; name at least one class";
  }
  for (const std::string& key : before.plain) {
    if (!after.plain.contains(key)) return key + ": is missing; the file in force has it, so give it a value";
  }
  std::set<std::string> every;  // keys that every class had
  for (auto it = before.class_keys.begin(); it != before.class_keys.end(); ++it) {
    if (it == before.class_keys.begin()) {
      every = it->second;
    } else {
      std::erase_if(every, [&](const std::string& k) { return !it->second.contains(k); });
    }
  }
  for (const char* key : {"name", "deadline", "promise"}) every.insert(key);
  for (const auto& [index, keys] : after.class_keys) {
    const std::string at = "classes." + std::to_string(index) + ".";
    for (const std::string& key : every) {
      if (!keys.contains(key)) return at + key + ": is missing; every class needs it";
    }
    if (is.at(at + "name").empty()) return at + "name: is empty; name the class";
    for (const char* key : {"deadline", "promise"}) {
      if (!Positive(is.at(at + key))) return at + key + ": is not a positive number of microseconds";
    }
  }
  if (const auto attempts = is.find("limits.max-attempts");
      attempts != is.end() && !Positive(attempts->second)) {
    return "limits.max-attempts: is not a positive number; give 1 or more";
  }
  return "";
}

}  // namespace ryeglade
