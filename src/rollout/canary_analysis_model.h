// Decides whether the new release does worse than the old one that runs beside it at the same time. A
// sequential analysis of the cohort of nodes with the new release against the cohort with the old one, class
// by class. It may be evaluated as often as needed without raising the error rate. No I/O, no clock.
//
// Compared are the shares of requests that failed, that were rejected, and that were not served in time; the
// mean of ln(time to first token); and the mean number of attempts. Each comparison is a difference of means
// within strata (a window of time in a zone; zones that have one cohort only are pooled), combined with
// Mantel-Haenszel weights, so that neither unequal traffic nor a changing environment counts as a difference
// between cohorts. Its variance is the larger of two estimates, from the samples within the strata and from
// the differences among the strata (requests of a window are not independent), plus the variance between
// nodes of the old cohort, because one node may do worse than others with any release.
//
// Repeated evaluation is allowed for by Robbins' normal mixture boundary (Robbins 1970; Howard, Ramdas,
// McAuliffe, Sekhon 2021, "Time-uniform, nonparametric, nonasymptotic confidence sequences"; asymptotic as in
// Waudby-Smith and others 2021). The error rate is divided among all comparisons (Bonferroni).
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

// What the analysis allows before it fails a release or stops the rollout.
struct CanaryThresholds {
  // Probability that a whole rollout stops a release that does not do worse.
  double false_positive_rate = 0.01;
  // By how much the new cohort may be worse than the old one before that counts.
  double failed_share = 0.005;         // of requests
  double rejected_share = 0.01;        // of requests
  double late_share = 0.02;            // of requests
  double first_token_slowdown = 0.05;  // as a part of the old cohort's time to first token
  double attempts_per_request = 0.05;  // mean number
  // A process that uses more than this part of its memory or descriptor limit fails the release at once.
  double resource_usage = 0.9;
  // Memory growth beyond the old cohort's that counts as a leak, as a part of the memory limit.
  double memory_growth_per_hour = 0.10;
  // The difference in failures must be known to this half width before a release passes.
  double failure_precision = 0.02;
  // If the old cohort's own late share rises by more than this, the environment has changed and nothing can
  // be compared.
  double environment_shift = 0.15;
  Time window = 10'000'000;  // length of a stratum's window of time, in microseconds
};

enum class CanaryVerdict : std::uint8_t {
  kPass,
  kFail,                // the new release does worse
  kInconclusive,        // more requests are needed
  kEnvironmentChanged,  // the old release does worse than before as well
};

enum class CanaryMetric : std::uint8_t { kFailed, kRejected, kLate, kFirstToken, kAttempts, kCount };
// Returns the name used in rollout records and report tables.
const char* Name(CanaryMetric metric);

inline constexpr const char* kAllClasses = "all";  // class name of comparisons over all classes
// A half width that is not below this means that nothing is known yet.
inline constexpr double kMaxKnownHalfWidth = 1'000'000;

// One metric of one class, or of all classes, in the new cohort against the old one.
struct CohortComparison {
  std::string class_name;                     // name of a class, or kAllClasses
  std::string metric;                         // Name(CanaryMetric); any text if read from a record
  double new_requests = 0, old_requests = 0;  // requests that were counted in each cohort
  double new_mean = 0, old_mean = 0;          // of the metric in each cohort
  double difference = 0, half_width = 0;      // new less old mean; half width of the confidence sequence
  double sampling_half_width = 0;             // half width without the variance between nodes
  double allowed = 0;           // difference up to which the new release does not count as worse
  bool worse = false;           // certainly worse than allowed: this fails the release
  bool possibly_worse = false;  // more requests are needed before the release can pass
  bool known() const { return half_width < kMaxKnownHalfWidth; }
};

struct CanaryResult {
  CanaryVerdict verdict = CanaryVerdict::kInconclusive;
  std::string reason;  // why the verdict is kFail or kEnvironmentChanged; otherwise empty
  std::vector<CohortComparison> comparisons;  // by class, then of all classes; empty if nothing was compared
  std::uint64_t new_requests = 0;             // concluded in the new cohort, over all classes
};

class CanaryAnalysis {
 public:
  explicit CanaryAnalysis(CanaryThresholds thresholds) : thresholds_(thresholds) {}

  // Takes a node's metrics as of `now`. Counted is their increase since the previous sample; the first sample
  // of a process only serves as the base of the next one. `new_release` says whether the node runs the new
  // release.
  void AddSample(Time now, const std::string& node, const std::string& zone, bool new_release,
                 const NodeMetrics& metrics);
  // Starts the comparison. What was sampled before becomes the baseline of the environment.
  void StartComparison();
  // Passes only once the new cohort has concluded `min_requests`. With 0, everything passes unless the
  // release fails or the environment has changed.
  CanaryResult Evaluate(std::uint64_t min_requests) const;

 private:
  static constexpr std::size_t kMetrics = static_cast<std::size_t>(CanaryMetric::kCount);
  enum Cohort : std::size_t { kOld, kNew, kCohorts };

  // Sums of one metric over requests.
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
    std::int64_t window;  // number of the window: the time divided by its length
    auto operator<=>(const StratumKey&) const = default;
  };
  struct Node {
    std::optional<NodeMetrics> last;             // nullopt: no sample yet
    std::deque<std::pair<Time, double>> memory;  // time and bytes, of the current process
    bool new_release = false;
    std::string zone;
    std::map<std::string, CohortSums> by_class;  // of the current process; only its own cohort is filled
  };
  // What a stratum contributes to a comparison: the difference new less old, its weight and its variance.
  struct Stratum {
    double weight, difference, variance;
  };
  struct NodeVariance {
    double variance = 0;                  // between the means of old nodes
    double new_nodes = 0, old_nodes = 0;  // number of nodes with enough requests
  };
  struct MemoryGrowth {
    double bytes_per_hour = 0;
    std::optional<double> limit;  // bytes; nullopt: no process ran for long enough
  };

  static void AddIncrease(const ClassMetrics& before, const ClassMetrics& now, MetricSums& sums);
  void AddClassSample(Time now, Node& node, const std::string& zone, const std::string& class_name,
                      const ClassMetrics& metrics);
  CohortComparison Compare(const std::string& class_name, CanaryMetric metric, double alpha) const;
  std::vector<Stratum> Strata(const std::string& class_name, std::size_t metric, const Sums& all_old,
                              const Sums& all_new) const;
  double AllowedDifference(CanaryMetric metric) const;
  NodeVariance VarianceBetweenNodes(const std::string& class_name, std::size_t metric) const;
  MemoryGrowth GrowthOf(bool new_release) const;
  Sums OldCohortLate() const;
  std::optional<std::string> ResourceLimitReached() const;
  std::optional<std::string> MemoryLeak() const;
  std::optional<std::string> EnvironmentChange() const;
  std::vector<CohortComparison> CompareAll() const;
  const CohortComparison* Worst(const std::vector<CohortComparison>& comparisons) const;
  bool FailuresKnown(const CohortComparison& failed) const;

  CanaryThresholds thresholds_;
  std::map<StratumKey, CohortSums> strata_;      // since the comparison started, or since the first sample
  std::map<std::string, double> class_weights_;  // priority weight by class name
  std::map<std::string, Node> nodes_;
  double baseline_late_share_ = 0, baseline_requests_ = 0;  // of the old cohort, before the comparison
};

}  // namespace ryeglade::rollout
