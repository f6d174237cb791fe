#include "settings.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <map>
#include <string>
#include <vector>

#include "codec.h"

namespace ryeglade::policy::wire {
namespace {

constexpr std::size_t kMaxItems = 4096;  // the most classes or tenants

// The keys and values of the settings text; the last line with a key counts. Conversions throw a WireError if
// a value is malformed, and return `fallback` if the key is missing. Micros and Int clamp values that are out
// of range.
class SettingsText {
 public:
  explicit SettingsText(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t separator = line.find('=');
      if (separator == std::string_view::npos) {
        if (!line.empty())
          throw WireError("settings: expected key=value, found no '=' in line '" +
                          std::string(line.substr(0, 60)) + "'");
        continue;
      }
      values_[std::string(line.substr(0, separator))] = std::string(line.substr(separator + 1));
    }
  }

  bool Has(const std::string& key) const { return values_.contains(key); }

  std::string Text(const std::string& key, const std::string& fallback) const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : it->second;
  }

  double Number(const std::string& key, double fallback) const {
    const auto it = values_.find(key);
    return it == values_.end() ? fallback : Parse(key, it->second);
  }

  Time Micros(const std::string& key, Time fallback) const {
    return Has(key) ? static_cast<Time>(std::clamp(Number(key, 0), -1e15, 1e15)) : fallback;
  }

  int Int(const std::string& key, int fallback, int min) const {
    return Has(key) ? static_cast<int>(std::clamp(Number(key, 0), double(min), 1e9)) : fallback;
  }

  bool Bool(const std::string& key, bool fallback) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return fallback;
    if (it->second == "true" || it->second == "1") return true;
    if (it->second == "false" || it->second == "0") return false;
    throw WireError("settings: " + key + " is not one of true, false, 1 and 0: '" + it->second.substr(0, 60) +
                    "'");
  }

  std::vector<std::string> List(const std::string& key) const {
    std::vector<std::string> items;
    const std::string text = Text(key, "");
    if (text.empty()) return items;
    for (std::size_t from = 0; from <= text.size();) {
      const std::size_t to = std::min(text.find(',', from), text.size());
      items.push_back(text.substr(from, to - from));
      from = to + 1;
    }
    return items;
  }

  std::vector<double> Numbers(const std::string& key) const {
    std::vector<double> numbers;
    for (const std::string& item : List(key)) numbers.push_back(Parse(key, item));
    return numbers;
  }

  std::size_t Count(const std::string& key) const {
    const double count = Number(key + ".count", 0);
    if (count < 0 || count > double(kMaxItems) || count != std::floor(count)) {
      throw WireError("settings: " + key + ".count is not a whole number from 0 to " +
                      std::to_string(kMaxItems) + ": '" + Text(key + ".count", "") + "'");
    }
    return static_cast<std::size_t>(count);
  }

 private:
  static double Parse(const std::string& key, const std::string& text) {
    double value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value)) {
      throw WireError("settings: " + key + " is not a finite number: '" + text.substr(0, 60) + "'");
    }
    return value;
  }

  std::map<std::string, std::string> values_;
};

// Returns the value of the choice that the key names, or `fallback` if the key is missing. Throws a WireError
// if the key names none of them.
template <class T>
T Choice(const SettingsText& text, const std::string& key,
         const std::vector<std::pair<std::string, T>>& choices, T fallback) {
  if (!text.Has(key)) return fallback;
  for (const auto& [name, value] : choices) {
    if (text.Text(key, "") == name) return value;
  }
  throw WireError("settings: " + key + " has an unknown value: '" + text.Text(key, "").substr(0, 60) + "'");
}

// Returns kOther for an unknown name.
LoadField LoadFieldOf(const std::string& name) {
  static const std::map<std::string, LoadField> kFields = {
      {"inflight", LoadField::kInFlight},    {"queue", LoadField::kQueueLength},
      {"util", LoadField::kUtilization},     {"latency_ms", LoadField::kLatencyMs},
      {"qps", LoadField::kQueriesPerSecond}, {"eps", LoadField::kErrorsPerSecond},
      {"x0", LoadField::kMemoryShare},       {"x1", LoadField::kTokensToPrefill},
  };
  const auto it = kFields.find(name);
  return it == kFields.end() ? LoadField::kOther : it->second;
}

ClassSettings ReadClass(const SettingsText& keys, std::size_t index) {
  const std::string prefix = "classes." + std::to_string(index) + ".";
  ClassSettings request_class;
  request_class.name = keys.Text(prefix + "name", "");
  request_class.latency_objective = keys.Micros(prefix + "promise", request_class.latency_objective);
  request_class.time_budget = keys.Micros(prefix + "deadline", request_class.time_budget);
  request_class.priority_weight = keys.Number(prefix + "worth", request_class.priority_weight);
  request_class.late_weight_share = keys.Number(prefix + "late-worth", request_class.late_weight_share);
  request_class.idempotency = Choice<Idempotency>(keys, prefix + "effect",
                                                  {{"free", Idempotency::kIdempotent},
                                                   {"guarded", Idempotency::kIdempotencyKey},
                                                   {"single_shot", Idempotency::kNotIdempotent}},
                                                  request_class.idempotency);
  request_class.dedup_scope = Choice<DedupScope>(
      keys, prefix + "dedup-scope",
      {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}},
      request_class.dedup_scope);
  request_class.dedup_window = keys.Micros(prefix + "window", request_class.dedup_window);
  request_class.streaming = keys.Bool(prefix + "stream", request_class.streaming);
  return request_class;
}

std::vector<TenantSettings> ReadTenants(const SettingsText& keys) {
  std::vector<TenantSettings> tenants;
  const std::size_t count = keys.Count("tenants");
  for (std::size_t i = 0; i < count; ++i) {
    const std::string prefix = "tenants." + std::to_string(i) + ".";
    tenants.push_back({keys.Text(prefix + "name", ""), keys.Number(prefix + "share", 1.0),
                       keys.Number(prefix + "quota-per-s", 0.0)});
  }
  return tenants;
}

}  // namespace

Settings ReadSettings(std::string_view text) {
  const SettingsText keys(text);
  Settings settings;

  const std::size_t classes = keys.Count("classes");
  if (classes == 0) throw WireError("settings: classes.count is missing or 0, expected at least 1");
  const std::vector<double> objectives_per_1000_tokens =
      keys.Numbers("family-info.aim-us-per-1000-prompt-tokens");
  const std::vector<double> inter_token_objectives = keys.Numbers("family-info.token-aim");
  for (std::size_t i = 0; i < classes; ++i) {
    ClassSettings request_class = ReadClass(keys, i);
    if (i < objectives_per_1000_tokens.size())
      request_class.objective_per_1000_tokens = static_cast<Time>(objectives_per_1000_tokens[i]);
    if (i < inter_token_objectives.size())
      request_class.inter_token_objective = static_cast<Time>(inter_token_objectives[i]);
    settings.classes.push_back(request_class);
  }
  settings.tenants = ReadTenants(keys);
  const std::string report_source = keys.Text("stats.how", "none");
  if (report_source != "none") {
    for (const std::string& field : keys.List("stats.fields"))
      settings.load_fields.push_back(LoadFieldOf(field));
  }
  settings.load_reports_in_responses = report_source == "answers";
  settings.node_count = keys.Int("balancers", settings.node_count, 1);
  settings.node_index = keys.Int("me", settings.node_index, 0);
  settings.zone = keys.Int("az", settings.zone, 0);
  settings.zone_count = std::max<int>(1, static_cast<int>(keys.List("localities").size()));
  settings.replica_kind_count = std::max<int>(1, static_cast<int>(keys.List("shapes").size()));
  settings.poll_endpoints = keys.Text("membership-mode", "push") == "ask";
  settings.weights_known = keys.Text("weights", "none") != "none";
  settings.over_quota_weight = keys.Number("over-share-worth", settings.over_quota_weight);
  settings.cross_zone_penalty = keys.Number("fees.cross-zone", 0);
  settings.wasted_work_penalty = keys.Number("fees.waste", 0);
  settings.late_failure_penalty = keys.Number("fees.late-fail", 0);
  settings.health_check_penalty = keys.Number("fees.probe", 0);
  settings.migration_penalty = keys.Number("fees.moves", 0);
  settings.can_cancel = keys.Bool("limits.cancel", settings.can_cancel);
  settings.can_check_health = keys.Bool("limits.probes", settings.can_check_health);
  settings.can_hedge = keys.Bool("limits.parallel-tries", settings.can_hedge);
  settings.clients_honor_retry_after = keys.Bool("limits.retry-after", settings.clients_honor_retry_after);
  settings.can_migrate_streams = keys.Bool("family-info.resume", settings.can_migrate_streams);
  settings.max_attempts = keys.Int("limits.max-attempts", settings.max_attempts, 1);
  settings.max_retry_after = keys.Micros("limits.max-retry-after", settings.max_retry_after);
  settings.connect_timeout = keys.Micros("limits.connect-timeout", settings.connect_timeout);
  settings.response_grace = keys.Micros("obligations.answer-slack", settings.response_grace);
  settings.drain_grace = keys.Micros("obligations.drain-grace", settings.drain_grace);
  settings.max_poll_interval = keys.Micros("obligations.ask-within", settings.max_poll_interval);
  settings.slow_start_window = keys.Micros("obligations.cold", settings.slow_start_window);
  settings.slow_start_min_share =
      std::clamp(keys.Number("obligations.cold-from", settings.slow_start_min_share), 0.01, 1.0);
  settings.overload_factor = keys.Number("obligations.overload-factor", settings.overload_factor);
  settings.overload_window = keys.Micros("obligations.overload-for", settings.overload_window);
  return settings;
}

}  // namespace ryeglade::policy::wire
