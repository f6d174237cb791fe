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

constexpr std::size_t kMaxItems = 4096;  // of any one list of objects

class Table {
 public:
  explicit Table(std::string_view text) {
    while (!text.empty()) {
      const std::size_t end = std::min(text.find('\n'), text.size());
      std::string_view line = text.substr(0, end);
      text.remove_prefix(std::min(end + 1, text.size()));
      if (!line.empty() && line.back() == '\r') line.remove_suffix(1);
      const std::size_t eq = line.find('=');
      if (eq == std::string_view::npos) {
        if (!line.empty())
          throw WireError("settings: no '=' in line '" + std::string(line.substr(0, 60)) + "'");
        continue;
      }
      values_[std::string(line.substr(0, eq))] = std::string(line.substr(eq + 1));
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

  int Int(const std::string& key, int fallback, int least) const {
    return Has(key) ? static_cast<int>(std::clamp(Number(key, 0), double(least), 1e9)) : fallback;
  }

  bool Bool(const std::string& key, bool fallback) const {
    const auto it = values_.find(key);
    if (it == values_.end()) return fallback;
    if (it->second == "true" || it->second == "1") return true;
    if (it->second == "false" || it->second == "0") return false;
    throw WireError("settings: " + key + " is neither true nor false: '" + it->second.substr(0, 60) + "'");
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
    const double n = Number(key + ".count", 0);
    if (n < 0 || n > double(kMaxItems) || n != std::floor(n)) {
      throw WireError("settings: " + key + ".count is out of range: " + Text(key + ".count", ""));
    }
    return static_cast<std::size_t>(n);
  }

 private:
  static double Parse(const std::string& key, const std::string& text) {
    double v = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), v);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(v)) {
      throw WireError("settings: " + key + " is not a number: '" + text.substr(0, 60) + "'");
    }
    return v;
  }

  std::map<std::string, std::string> values_;
};

template <class T>
T Choice(const Table& t, const std::string& key, const std::vector<std::pair<std::string, T>>& choices,
         T fallback) {
  if (!t.Has(key)) return fallback;
  for (const auto& [word, value] : choices) {
    if (t.Text(key, "") == word) return value;
  }
  throw WireError("settings: " + key + " has an unknown value: '" + t.Text(key, "").substr(0, 60) + "'");
}

LoadField FieldOf(const std::string& name) {
  static const std::map<std::string, LoadField> kFields = {
      {"inflight", LoadField::kInFlight},    {"queue", LoadField::kQueueLength},
      {"util", LoadField::kUtilization},     {"latency_ms", LoadField::kLatencyMs},
      {"qps", LoadField::kQueriesPerSecond}, {"eps", LoadField::kErrorsPerSecond},
      {"x0", LoadField::kMemoryShare},       {"x1", LoadField::kTokensToPrefill},
  };
  const auto it = kFields.find(name);
  return it == kFields.end() ? LoadField::kOther : it->second;
}

}  // namespace

Settings ReadSettings(std::string_view text) {
  const Table t(text);
  Settings s;

  const std::size_t classes = t.Count("classes");
  if (classes == 0) throw WireError("settings: classes.count is missing or 0");
  const std::vector<double> prompt_aims = t.Numbers("family-info.aim-us-per-1000-prompt-tokens");
  const std::vector<double> token_aims = t.Numbers("family-info.token-aim");
  for (std::size_t i = 0; i < classes; ++i) {
    const std::string at = "classes." + std::to_string(i) + ".";
    ClassSettings c;
    c.name = t.Text(at + "name", "");
    c.latency_objective = t.Micros(at + "promise", c.latency_objective);
    c.time_budget = t.Micros(at + "deadline", c.time_budget);
    c.priority_weight = t.Number(at + "worth", c.priority_weight);
    c.late_weight_share = t.Number(at + "late-worth", c.late_weight_share);
    c.idempotency = Choice<Idempotency>(t, at + "effect",
                                        {{"free", Idempotency::kIdempotent},
                                         {"guarded", Idempotency::kIdempotencyKey},
                                         {"single_shot", Idempotency::kNotIdempotent}},
                                        c.idempotency);
    c.dedup_scope = Choice<DedupScope>(
        t, at + "dedup-scope",
        {{"all", DedupScope::kAll}, {"zone", DedupScope::kZone}, {"cell", DedupScope::kCell}}, c.dedup_scope);
    c.dedup_window = t.Micros(at + "window", c.dedup_window);
    c.streaming = t.Bool(at + "stream", c.streaming);
    if (i < prompt_aims.size()) c.objective_per_1000_tokens = static_cast<Time>(prompt_aims[i]);
    if (i < token_aims.size()) c.inter_token_objective = static_cast<Time>(token_aims[i]);
    s.classes.push_back(c);
  }
  const std::size_t tenants = t.Count("tenants");
  for (std::size_t i = 0; i < tenants; ++i) {
    const std::string at = "tenants." + std::to_string(i) + ".";
    s.tenants.push_back(
        {t.Text(at + "name", ""), t.Number(at + "share", 1.0), t.Number(at + "quota-per-s", 0.0)});
  }
  const std::string how = t.Text("stats.how", "none");
  if (how != "none") {
    for (const std::string& field : t.List("stats.fields")) s.load_fields.push_back(FieldOf(field));
  }
  s.load_reports_in_responses = how == "answers";
  s.node_count = t.Int("balancers", s.node_count, 1);
  s.node_index = t.Int("me", s.node_index, 0);
  s.zone = t.Int("az", s.zone, 0);
  s.zone_count = std::max<int>(1, static_cast<int>(t.List("localities").size()));
  s.replica_kind_count = std::max<int>(1, static_cast<int>(t.List("shapes").size()));
  s.poll_endpoints = t.Text("membership-mode", "push") == "ask";
  s.weights_known = t.Text("weights", "none") != "none";
  s.over_quota_weight = t.Number("over-share-worth", s.over_quota_weight);
  s.cross_zone_penalty = t.Number("fees.cross-zone", 0);
  s.wasted_work_penalty = t.Number("fees.waste", 0);
  s.late_failure_penalty = t.Number("fees.late-fail", 0);
  s.health_check_penalty = t.Number("fees.probe", 0);
  s.migration_penalty = t.Number("fees.moves", 0);
  s.can_cancel = t.Bool("limits.cancel", s.can_cancel);
  s.can_check_health = t.Bool("limits.probes", s.can_check_health);
  s.can_hedge = t.Bool("limits.parallel-tries", s.can_hedge);
  s.clients_honor_retry_after = t.Bool("limits.retry-after", s.clients_honor_retry_after);
  s.can_migrate_streams = t.Bool("family-info.resume", s.can_migrate_streams);
  s.max_attempts = t.Int("limits.max-attempts", s.max_attempts, 1);
  s.max_retry_after = t.Micros("limits.max-retry-after", s.max_retry_after);
  s.connect_timeout = t.Micros("limits.connect-timeout", s.connect_timeout);
  s.response_grace = t.Micros("obligations.answer-slack", s.response_grace);
  s.drain_grace = t.Micros("obligations.drain-grace", s.drain_grace);
  s.max_poll_interval = t.Micros("obligations.ask-within", s.max_poll_interval);
  s.slow_start_window = t.Micros("obligations.cold", s.slow_start_window);
  s.slow_start_min_share = std::clamp(t.Number("obligations.cold-from", s.slow_start_min_share), 0.01, 1.0);
  s.overload_factor = t.Number("obligations.overload-factor", s.overload_factor);
  s.overload_window = t.Micros("obligations.overload-for", s.overload_window);
  return s;
}

}  // namespace ryeglade::policy::wire
