// Helpers to build Prometheus metric families and samples, which the admin listener and the OpenAI front
// write in the text format. The type of a family says whether its samples are counters or gauges.
#pragma once

#include <prometheus/metric_family.h>

#include <string>
#include <utility>
#include <vector>

namespace ryeglade {

// Label names and their values.
using MetricLabels = std::vector<std::pair<std::string, std::string>>;

// Returns a family without samples. `help` is the text of its HELP line.
inline prometheus::MetricFamily Family(const char* name, const char* help, prometheus::MetricType type) {
  prometheus::MetricFamily family;
  family.name = name;
  family.help = help;
  family.type = type;
  return family;
}

// Adds a sample to a family, which must be of type Counter or Gauge.
inline void AddSample(prometheus::MetricFamily& family, const MetricLabels& labels, double value) {
  prometheus::ClientMetric metric;
  for (const auto& [name, label_value] : labels) metric.label.push_back({name, label_value});
  (family.type == prometheus::MetricType::Counter ? metric.counter.value : metric.gauge.value) = value;
  family.metric.push_back(std::move(metric));
}

}  // namespace ryeglade
