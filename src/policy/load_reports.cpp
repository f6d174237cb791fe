#include "load_reports.h"

#include <algorithm>
#include <cstddef>

namespace ryeglade::policy {
namespace {

constexpr Time kReportDecayTime = 2'500'000;  // a report's weight decays to 1/e in this time
constexpr double kMaxRelativeLoad = 1.5;      // the lower bound is 1 / this

}  // namespace

void LoadReports::Record(Replica& replica, const std::vector<double>& report, Time now) {
  bool found_in_flight = false;
  for (std::size_t i = 0; i < std::min(report.size(), settings_.load_fields.size()); ++i) {
    const bool is_in_flight = settings_.load_fields[i] == LoadField::kInFlight;
    const bool is_utilization = settings_.load_fields[i] == LoadField::kUtilization;
    if (!is_in_flight && (found_in_flight || !is_utilization)) continue;
    found_in_flight = is_in_flight;
    reports_in_flight_ = is_in_flight;
    replica.reported_load = std::max(0.0, report[i]);
    replica.reported_at = now;
  }
}

void LoadReports::ResetMean() {
  load_sum_ = 0;
  weight_sum_ = 0;
}

void LoadReports::CountTowardsMean(const Replica& replica, Time now) {
  if (!HasReport(replica)) return;
  const double weight = Freshness(replica, now);
  load_sum_ += weight * ComparableLoad(replica, now);
  weight_sum_ += weight;
}

double LoadReports::Freshness(const Replica& replica, Time now) {
  return DecayingCounter::DecayFactor(now - replica.reported_at, kReportDecayTime);
}

double LoadReports::RelativeLoad(const Replica& replica, Time now) const {
  const double mean = std::max((load_sum_ + 1e-9) / (weight_sum_ + 1e-9), 1e-9);
  return std::clamp(ComparableLoad(replica, now) / mean, 1 / kMaxRelativeLoad, kMaxRelativeLoad);
}

// A request in flight is more load for a slow replica than for a fast one.
double LoadReports::ComparableLoad(const Replica& replica, Time now) const {
  if (!reports_in_flight_) return replica.reported_load;
  return replica.reported_load * ReplicaSpeed::LoadFactor(-speed_.Slowness(replica, now));
}

}  // namespace ryeglade::policy
