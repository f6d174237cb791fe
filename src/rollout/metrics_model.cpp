#include "rollout/metrics_model.h"

#include <cmath>
#include <exception>
#include <nlohmann/json.hpp>
#include <stdexcept>

namespace ryeglade::rollout {
namespace {

using nlohmann::json;

constexpr std::size_t kMaxClasses = 1000;
constexpr double kMaxNumber = 1e18;
constexpr std::uint64_t kMaxCount = 100'000'000'000'000'000ULL;

// NumberAt and CountAt return 0 for an absent key and throw for a number that is out of bounds.
double NumberAt(const json& object, const char* key) {
  const double number = object.value(key, 0.0);
  if (!std::isfinite(number) || std::abs(number) > kMaxNumber) throw std::runtime_error(key);
  return number;
}

std::uint64_t CountAt(const json& object, const char* key) {
  const auto at = object.find(key);
  if (at == object.end()) return 0;
  if (!at->is_number_unsigned() || at->get<std::uint64_t>() > kMaxCount) throw std::runtime_error(key);
  return at->get<std::uint64_t>();
}

// The keys of the JSON object are older than the names in ClassMetrics and NodeMetrics, and are mapped only
// in this file.
json ToJson(const ClassMetrics& metrics) {
  return {{"worth", metrics.priority_weight},
          {"served", metrics.served},
          {"in_time", metrics.in_time},
          {"refused", metrics.rejected},
          {"failed", metrics.failed},
          {"attempts", metrics.attempts_sum},
          {"attempts_squared", metrics.attempts_sum_of_squares},
          {"started", metrics.started},
          {"first_ln", metrics.first_token_ln_sum},
          {"first_ln_squared", metrics.first_token_ln_sum_of_squares}};
}

ClassMetrics ClassMetricsFrom(const json& j) {
  ClassMetrics metrics;
  metrics.priority_weight = NumberAt(j, "worth");
  metrics.served = CountAt(j, "served");
  metrics.in_time = CountAt(j, "in_time");
  metrics.rejected = CountAt(j, "refused");
  metrics.failed = CountAt(j, "failed");
  metrics.attempts_sum = NumberAt(j, "attempts");
  metrics.attempts_sum_of_squares = NumberAt(j, "attempts_squared");
  metrics.started = CountAt(j, "started");
  metrics.first_token_ln_sum = NumberAt(j, "first_ln");
  metrics.first_token_ln_sum_of_squares = NumberAt(j, "first_ln_squared");
  const bool consistent =
      metrics.priority_weight >= 0 && metrics.attempts_sum >= 0 && metrics.in_time <= metrics.served;
  if (!consistent) throw std::runtime_error("inconsistent class metrics");
  return metrics;
}

NodeMetrics NodeMetricsFrom(const json& j) {
  NodeMetrics metrics;
  metrics.pid = static_cast<std::int64_t>(CountAt(j, "pid"));
  metrics.measured_at = static_cast<std::int64_t>(CountAt(j, "at"));
  metrics.memory_bytes = CountAt(j, "memory");
  metrics.memory_limit_bytes = CountAt(j, "most_memory");
  metrics.descriptors = CountAt(j, "descriptors");
  metrics.descriptor_limit = CountAt(j, "most_descriptors");
  const json& classes = j.at("classes");
  if (!classes.is_object() || classes.size() > kMaxClasses) throw std::runtime_error("classes");
  for (const auto& [name, class_metrics] : classes.items())
    metrics.classes[name] = ClassMetricsFrom(class_metrics);
  return metrics;
}

}  // namespace

std::string EncodeNodeMetrics(const NodeMetrics& metrics) {
  json classes = json::object();
  for (const auto& [name, class_metrics] : metrics.classes) classes[name] = ToJson(class_metrics);
  return json{{"pid", metrics.pid},
              {"at", metrics.measured_at},
              {"memory", metrics.memory_bytes},
              {"most_memory", metrics.memory_limit_bytes},
              {"descriptors", metrics.descriptors},
              {"most_descriptors", metrics.descriptor_limit},
              {"classes", classes}}
      .dump(-1, ' ', false, json::error_handler_t::replace);
}

std::optional<NodeMetrics> DecodeNodeMetrics(const std::string& text) {
  try {
    return NodeMetricsFrom(json::parse(text));
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace ryeglade::rollout
