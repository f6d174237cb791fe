// Helpers to build Prometheus metric families and samples, which the admin listener and the OpenAI front
// write in the text format. The type of a family says whether its samples are counters or gauges.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace ryeglade {

using MetricLabels = std::vector<std::pair<std::string, std::string>>;

inline prometheus::MetricFamily Family(const char* name, const char* help, prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  return family;
}

inline void AddSample(prometheus::MetricFamily& family, const MetricLabels& labels, double value) {
  prometheus::ClientMetric metric;
  for (const auto& [name, text] : labels) metric.label.push_back({name, text});
  (family.type == prometheus::MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
  family.metric.push_back(std::move(metric));
}

}  // namespace ryeglade
