#include "admin/counters.h"

#include <prometheus/metric_family.h>
#include <prometheus/text_serializer.h>

#include <map>
#include <utility>

#include "base/metric_family.h"

namespace ryeglade {
namespace {

using prometheus::MetricFamily;
using prometheus::MetricType;

void Add(MetricFamily& family, double value, const std::string& class_name = "") {
  AddSample(family, class_name.empty() ? MetricLabels{} : MetricLabels{{"tier", class_name}}, value);
}

void AddSamples(MetricFamily& family, const char* label, const std::map<std::string, std::uint64_t>& counts) {
  for (const auto& [name, count] : counts) AddSample(family, {{label, name}}, static_cast<double>(count));
}

}  // namespace

std::string CountersText(const CounterView& view) {
  MetricFamily success = Family("node_success", "Requests served, by class", MetricType::Counter);
  MetricFamily busy = Family("node_busy", "Requests refused, by class", MetricType::Counter);
  MetricFamily failure = Family("node_failure", "Requests failed, by class", MetricType::Counter);
  std::map<std::string, NodeCounters::RequestClass> by_class = view.counters->by_class;
  for (const std::string& name : view.classes) by_class.try_emplace(name);
  for (const auto& [name, counts] : by_class) {
    Add(success, static_cast<double>(counts.served), name);
    Add(busy, static_cast<double>(counts.rejected), name);
    Add(failure, static_cast<double>(counts.failed), name);
  }
  MetricFamily calls =
      Family("node_backend_calls", "Attempts written whole to model replicas", MetricType::Counter);
  Add(calls, static_cast<double>(view.counters->attempts_written));
  MetricFamily inflight = Family("node_inflight", "Requests taken and not yet ended", MetricType::Gauge);
  Add(inflight, static_cast<double>(view.inflight));
  MetricFamily listed = Family("node_hosts_listed", "Model replicas in the list", MetricType::Gauge);
  Add(listed, static_cast<double>(view.hosts_listed));
  MetricFamily down =
      Family("node_hosts_down", "Listed model replicas avoided, by hand or by choice", MetricType::Gauge);
  Add(down, static_cast<double>(view.hosts_down));
  MetricFamily ok = Family("node_reconfig_ok", "Settings files taken at SIGHUP", MetricType::Counter);
  Add(ok, static_cast<double>(view.counters->reloads_applied));
  MetricFamily failed =
      Family("node_reconfig_failed", "Settings files turned down at SIGHUP", MetricType::Counter);
  Add(failed, static_cast<double>(view.counters->reloads_failed));
  MetricFamily ended = Family("node_attempts_ended", "Attempts that ended, by outcome", MetricType::Counter);
  AddSamples(ended, "outcome", view.counters->attempts_ended);
  MetricFamily stream_ends = Family(
      "node_stream_ends", "Streams of model replicas, by how they stood at their end", MetricType::Counter);
  AddSamples(stream_ends, "end", view.counters->stream_ends);
  MetricFamily given_up = Family(
      "node_given_up", "Requests refused or failed by the decision module, by reason", MetricType::Counter);
  AddSamples(given_up, "why", view.counters->requests_concluded);
  MetricFamily guard =
      Family("node_guard_replies", "Requests that the decision module had not answered in time",
             MetricType::Counter);
  Add(guard, static_cast<double>(view.counters->watchdog_replies));
  MetricFamily migrated =
      Family("node_streams_migrated",
             "Streams that the node ended so that their clients resume them elsewhere", MetricType::Counter);
  Add(migrated, static_cast<double>(view.counters->streams_migrated));
  MetricFamily closed = Family("node_connections_closed",
                               "Connections of clients that were closed, by reason", MetricType::Counter);
  for (std::size_t n = 0; n < view.closed.size(); ++n) {
    AddSample(closed, {{"why", Name(static_cast<CloseReason>(n))}}, static_cast<double>(view.closed[n]));
  }
  MetricFamily used =
      Family("node_memory_used_bytes", "Bytes of requests, responses and lists that the node holds now",
             MetricType::Gauge);
  Add(used, static_cast<double>(view.memory_used));
  MetricFamily budget = Family("node_memory_budget_bytes",
                               "The most of these bytes that the process may hold", MetricType::Gauge);
  Add(budget, static_cast<double>(view.memory_budget));
  return prometheus::TextSerializer().Serialize({success, busy, failure, calls, inflight, listed, down, ok,
                                                 failed, ended, stream_ends, given_up, guard, migrated,
                                                 closed, used, budget});
}

}  // namespace ryeglade
