#include "app/node_report.h"

#include <unistd.h>
#include <uv.h>

#include "admin/counters.h"
#include "rollout/metrics_model.h"

namespace ryeglade {
namespace {

rollout::ClassMetrics ToClassMetrics(const NodeCounters::RequestClass& counters, double priority_weight) {
  rollout::ClassMetrics metrics;
  metrics.priority_weight = priority_weight;
  metrics.served = counters.served;
  metrics.in_time = counters.within_objective;
  metrics.rejected = counters.rejected;
  metrics.failed = counters.failed;
  metrics.attempts_sum = static_cast<double>(counters.attempts);
  metrics.attempts_sum_of_squares = static_cast<double>(counters.attempts_squared);
  metrics.started = counters.started;
  metrics.first_token_ln_sum = counters.first_token_ln;
  metrics.first_token_ln_sum_of_squares = counters.first_token_ln_squared;
  return metrics;
}

}  // namespace

std::string CountersReport(const ReportSources& sources) {
  const Config& config = sources.config;
  CounterView view;
  view.counters = &sources.counters;
  for (const std::size_t i : config.active_classes) view.classes.push_back(config.settings.classes[i].name);
  view.inflight = sources.streams.size();
  view.hosts_listed = sources.discovery.endpoints().listed().size();
  view.memory_used = sources.memory.used_bytes();
  view.memory_budget = sources.memory.max_bytes();
  view.closed = sources.listener.closed();
  const policy::Router& router = sources.decisions.router();
  for (const policy::ReplicaId id : sources.discovery.endpoints().listed()) {
    if (sources.discovery.endpoints().IsUnavailable(id) || router.ejected_until(id) > Now())
      ++view.hosts_down;
  }
  return CountersText(view);
}

std::string RolloutMetricsReport(const ReportSources& sources, std::size_t used_sockets) {
  const Config& config = sources.config;
  rollout::NodeMetrics metrics;
  metrics.pid = getpid();
  metrics.measured_at = Now();
  std::size_t resident = 0;
  uv_resident_set_memory(&resident);
  metrics.memory_bytes = resident;
  metrics.memory_limit_bytes = config.memory_mb * 1024 * 1024;
  metrics.descriptors = used_sockets;
  metrics.descriptor_limit = config.sockets;
  for (const std::size_t i : config.active_classes) {
    const policy::ClassSettings& settings = config.settings.classes[i];
    metrics.classes[settings.name].priority_weight = settings.priority_weight;
  }
  for (const auto& [name, counters] : sources.counters.by_class) {
    rollout::ClassMetrics& metrics_of_class = metrics.classes[name];
    metrics_of_class = ToClassMetrics(counters, metrics_of_class.priority_weight);
  }
  return EncodeNodeMetrics(metrics);
}

}  // namespace ryeglade
