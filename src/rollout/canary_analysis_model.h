// Does the new release do worse than the old one, beside it, at the same time? A sequential analysis of the
// cohort of nodes with the new release against the cohort with the old one, class by class, that may be
// evaluated as often as one likes. No I/O, no clock.
//
// What is compared: the shares of requests that failed, that were rejected, and that were not served in time;
// the mean of ln(time to first token); the mean number of attempts. Each is a difference of means within
// strata (a window of time in a zone; zones that have one cohort only are pooled), combined with
// Mantel-Haenszel weights, so that neither unequal traffic nor a changing environment counts as a difference
// between cohorts. Its variance is the larger of what the samples say within the strata and of how much the
// strata differ among themselves (windows are not independent requests), plus the variance between nodes of
// the old cohort: one node may do worse than others with any release.
//
// Repeated evaluation: Robbins' normal mixture boundary (Robbins 1970; Howard, Ramdas, McAuliffe, Sekhon
// 2021, "Time-uniform, nonparametric, nonasymptotic confidence sequences"; asymptotic as in Waudby-Smith and
// others 2021). The error rate is divided among all comparisons (Bonferroni).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "rollout/metrics_model.h"

namespace ryeglade::rollout {

using Time = std::int64_t;  // microseconds

struct CanaryThresholds {
  // Of one whole rollout: how often a release that does not do worse may be stopped.
  double false_positive_rate = 0.01;
  // By how much the new cohort may be worse before that counts: shares of requests,
  double failed_share = 0.005;
  double rejected_share = 0.01;
  double late_share = 0.02;
  double first_token_slowdown = 0.05;    // part of the time to first token,
  double attempts_per_request = 0.05;    // attempts.
  double resource_usage = 0.9;           // part of the memory or descriptor limit: above it, fail at once
  double memory_growth_per_hour = 0.10;  // part of the limit, beyond the old cohort's growth: a leak
  double failure_precision = 0.02;       // half width to which failures must be known before a release passes
  double environment_shift = 0.15;       // rise of the old cohort's own late share: nothing can be compared
  Time window = 10'000'000;              // of a stratum
};

enum class CanaryVerdict : std::uint8_t {
  kPass,
  kFail,                // the new release does worse
  kInconclusive,        // more requests are needed
  kEnvironmentChanged,  // the old release does worse than before, too
};

enum class CanaryMetric : std::uint8_t { kFailed, kRejected, kLate, kFirstToken, kAttempts, kCount };
const char* Name(CanaryMetric metric);

inline constexpr const char* kAllClasses = "all";        // class name of the comparisons over all classes
inline constexpr double kMaxKnownHalfWidth = 1'000'000;  // a half width beyond it: nothing is known yet

struct CohortComparison {
  std::string class_name;  // or kAllClasses
  std::string metric;      // Name(CanaryMetric); in a record that was read, any text
  double new_requests = 0, old_requests = 0;
  double new_mean = 0, old_mean = 0;
  double difference = 0, half_width = 0;  // of the confidence sequence
  double sampling_half_width = 0;  // the part of it due to sampling alone, without variance between nodes
  double allowed = 0;
  bool worse = false;
  bool possibly_worse = false;  // more requests are needed before the release can pass
  bool known() const { return half_width < kMaxKnownHalfWidth; }
};

struct CanaryResult {
  CanaryVerdict verdict = CanaryVerdict::kInconclusive;
  std::string reason;
  std::vector<CohortComparison> comparisons;
  std::uint64_t new_requests = 0;  // of the new cohort, over all classes
};

class CanaryAnalysis {
 public:
  explicit CanaryAnalysis(CanaryThresholds thresholds) : thresholds_(thresholds) {}

  // A node's metrics as of `now`. What is counted is their increase since the sample before; a new process
  // counts from nothing. `new_release`: the node runs the new release.
  void AddSample(Time now, const std::string& node, const std::string& zone, bool new_release,
                 const NodeMetrics& metrics);
  // The comparison starts here; what was sampled before becomes the environment's baseline.
  void StartComparison();
  // `min_requests` of the new cohort for a pass; 0: none.
  CanaryResult Evaluate(std::uint64_t min_requests) const;

 private:
  static constexpr std::size_t kMetrics = static_cast<std::size_t>(CanaryMetric::kCount);
  enum Cohort : std::size_t { kOld, kNew, kCohorts };

  // Sums over requests of one metric.
  struct Sums {
    double count = 0, sum = 0, sum_of_squares = 0;
    void Add(const Sums& other);
    double Mean() const { return count > 0 ? sum / count : 0; }
    double Variance() const;
  };
  using MetricSums = Sums[kMetrics];
  struct CohortSums {
    MetricSums by_cohort[kCohorts];
  };
  struct StratumKey {
    std::string class_name, zone;
    std::int64_t window;
    auto operator<=>(const StratumKey&) const = default;
  };
  struct Node {
    std::optional<NodeMetrics> last;             // null: no sample yet
    std::deque<std::pair<Time, double>> memory;  // bytes at a time, of this process
    bool new_release = false;
    std::string zone;
    std::map<std::string, CohortSums> by_class;  // of this process; only its own cohort's side
  };
  // What strata contribute to a comparison: the difference new less old, its weight and its variance.
  struct Stratum {
    double weight, difference, variance;
  };
  struct Between {
    double variance = 0;
    double new_nodes = 0, old_nodes = 0;  // nodes with enough requests
  };
  struct MemoryGrowth {
    double bytes_per_hour = 0;
    std::optional<double> limit;  // bytes; null: no process ran for long enough
  };

  static void AddIncrease(const ClassMetrics& before, const ClassMetrics& now, MetricSums& sums);
  void AddClassSample(Time now, Node& node, const std::string& zone, const std::string& class_name,
                      const ClassMetrics& metrics);
  CohortComparison Compare(const std::string& class_name, CanaryMetric metric, double alpha) const;
  std::vector<Stratum> Strata(const std::string& class_name, std::size_t metric, const Sums& all_old,
                              const Sums& all_new) const;
  double AllowedDifference(CanaryMetric metric) const;
  Between BetweenNodes(const std::string& class_name, std::size_t metric) const;
  MemoryGrowth GrowthOf(bool new_release) const;
  Sums OldCohortLate() const;
  std::optional<std::string> ResourceLimitReached() const;
  std::optional<std::string> MemoryLeak() const;
  std::optional<std::string> EnvironmentChange() const;
  std::vector<CohortComparison> CompareAll() const;
  const CohortComparison* Worst(const std::vector<CohortComparison>& comparisons) const;
  bool FailuresKnown(const CohortComparison& failed) const;

  CanaryThresholds thresholds_;
  std::map<StratumKey, CohortSums> strata_;
  std::map<std::string, double> class_weights_;  // priority weights, by class
  std::map<std::string, Node> nodes_;
  double baseline_late_share_ = 0, baseline_requests_ = 0;  // of the old cohort, before the comparison
};

}  // namespace ryeglade::rollout
