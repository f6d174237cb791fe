#include "lab/experiment/measures.h"

#include <algorithm>
#include <stdexcept>

namespace ryeglade::experiment {
namespace {

using emulator::ScenarioResult;

double ToDouble(std::uint64_t n) { return static_cast<double>(n); }
double Ratio(double part, std::uint64_t all) { return all > 0 ? part / ToDouble(all) : 0; }

}  // namespace

const std::vector<Measure>& Measures() {
  static const std::vector<Measure> all = {
      {"share", "served share of the requested worth", 1, 4,
       [](const ScenarioResult& result, double) { return result.Share(); }},
      {"goodput", "answers within the latency objective, 1/s", 1, 1,
       [](const ScenarioResult& result, double s) { return ToDouble(result.in_time) / std::max(1e-9, s); }},
      {"unserved", "share of requests not served", -1, 4,
       [](const ScenarioResult& result, double) {
         return Ratio(ToDouble(result.refused + result.failed + result.broken + result.lost),
                      result.requests);
       }},
      {"p50_ms", "first token, p50, ms", -1, 0,
       [](const ScenarioResult& result, double) { return result.Quantile(0.5); }},
      {"p90_ms", "first token, p90, ms", -1, 0,
       [](const ScenarioResult& result, double) { return result.Quantile(0.9); }},
      {"p99_ms", "first token, p99, ms", -1, 0,
       [](const ScenarioResult& result, double) { return result.Quantile(0.99); }},
      {"kept", "share of prompt tokens found in caches", 1, 3,
       [](const ScenarioResult& result, double) { return result.cached_share; }},
      {"wasted", "share of attempts not served", -1, 4,
       [](const ScenarioResult& result, double) { return result.wasted_share; }},
      {"attempts_a_request", "attempts per try", -1, 3,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.attempts), result.tries); }},
      {"tries_a_request", "tries per request", -1, 3,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.tries), result.calls); }},
      {"refused", "share of requests refused", -1, 4,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.refused), result.requests); }},
      {"failed", "share of requests failed", -1, 4,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.failed), result.requests); }},
      {"broken", "share of requests broken", -1, 4,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.broken), result.requests); }},
      {"lost", "share of requests whose client gave up", -1, 4,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.lost), result.requests); }},
      {"preempted", "requests preempted", -1, 0,
       [](const ScenarioResult& result, double) { return ToDouble(result.preempted); }},
      {"overshoot", "concurrency limits of all nodes / slots of the fleet, max", 0, 2,
       [](const ScenarioResult& result, double) { return result.joint_overshoot; }},
      {"joint_shares", "sum of the traffic shares of all nodes, max", 0, 3,
       [](const ScenarioResult& result, double) { return result.joint_shares; }},
      {"crowd", "requests at the fullest replica / mean", -1, 2,
       [](const ScenarioResult& result, double) { return result.peak_to_mean_load; }},
      {"full", "share of attempts rejected at capacity", -1, 4,
       [](const ScenarioResult& result, double) { return Ratio(ToDouble(result.full), result.attempts); }},
      {"errors", "errors, resets, timeouts, failed connections per 1000 requests", -1, 2,
       [](const ScenarioResult& result, double) {
         return 1000 * Ratio(ToDouble(result.errors), result.calls);
       }},
      {"back_s", "recovery to 95% of the share of worth before the faults, s", -1, 1,
       [](const ScenarioResult& result, double) { return result.recovery_s; }},
      {"cold_pushed", "seconds in which cold replicas were overloaded", -1, 1,
       [](const ScenarioResult& result, double) { return ToDouble(result.violations.cold_pushed); }},
      {"worst_replica", "requests served by the busiest replica / mean", -1, 2,
       [](const ScenarioResult& result, double) {
         double sum = 0, most = 0;
         for (const double v : result.served_by_replica) {
           sum += v;
           most = std::max(most, v);
         }
         return sum > 0 ? most * static_cast<double>(result.served_by_replica.size()) / sum : 0;
       }},
      {"breaks", "rule violations", -1, 0,
       [](const ScenarioResult& result, double) { return ToDouble(result.violations.all()); }},
  };
  return all;
}

std::vector<std::string> MeasureNames() {
  std::vector<std::string> names;
  for (const Measure& m : Measures()) names.push_back(m.name);
  return names;
}

const Measure& MeasureOf(const std::string& name) {
  for (const Measure& m : Measures()) {
    if (m.name == name) return m;
  }
  std::string all;
  for (const std::string& n : MeasureNames()) all += (all.empty() ? "" : ", ") + n;
  throw std::runtime_error("unknown measure '" + name + "'; the measures are " + all);
}

}  // namespace ryeglade::experiment
