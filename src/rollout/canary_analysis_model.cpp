#include "rollout/canary_analysis_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ryeglade::rollout {
namespace {

// Names used in rollout records and report tables, in the order of CanaryMetric.
constexpr const char* kMetricNames[] = {"failed", "refused", "late", "first-token", "attempts"};
// Weight of all classes together, compared with the priority weights of single classes.
constexpr double kAllClassesWeight = 0.5;

constexpr std::size_t kMaxStrata = 20'000;
constexpr std::size_t kMaxMemorySamples = 600;
constexpr std::size_t kMinMemorySamples = 10;
constexpr Time kMinGrowthSpan = 60'000'000;  // microseconds; memory growth is not fitted over less
constexpr double kMicrosPerHour = 3.6e9;
constexpr double kWarmUpMemory = 0.02;  // part of the limit; growth below it is normal when a process starts
constexpr double kBytesPerMiB = 1048576;

constexpr double kMinRequestsToCompare = 30;   // in each cohort, because the boundary is asymptotic
constexpr double kMinRequestsOfNode = 20;      // of a node that counts for the variance between nodes
constexpr double kMinOldNodes = 3;             // needed to estimate the variance between nodes
constexpr double kWarmUpRequests = 10;         // first requests of a process, served cold and not counted
constexpr std::size_t kMinStrataToSpread = 4;  // needed to estimate the variance between strata
constexpr double kTunedInformation = 500;      // 1/variance at which the boundary is tightest
constexpr double kMinVariance = 1e-12;
constexpr double kUnknownHalfWidth = 1e9;  // beyond kMaxKnownHalfWidth
// Of the old cohort, before and during the comparison, to tell whether the environment has changed.
constexpr double kMinRequestsOfEnvironment = 50;
// A difference that exceeds what is allowed by more than this part of its half width is possibly worse. That
// proves nothing, but a release that is no worse stays below it in nineteen of twenty evaluations.
constexpr double kPossiblyWorsePart = 0.5;
// A possibly worse release waits until this many times the stage's minimum of requests have concluded: by
// then a release that is really worse has been recognized.
constexpr std::uint64_t kPossiblyWorseFactor = 4;

// Returns by how much a counter rose between two samples; 0 if it fell.
double Increase(std::uint64_t now, std::uint64_t before) {
  return now > before ? static_cast<double>(now - before) : 0;
}

double ConcludedRequests(const NodeMetrics& metrics) {
  std::uint64_t concluded = 0;
  for (const auto& [name, class_metrics] : metrics.classes) concluded += class_metrics.concluded();
  return static_cast<double>(concluded);
}

// Returns the half width of the confidence sequence for an estimate with this variance: Robbins' normal
// mixture boundary.
double HalfWidth(double variance, double alpha) {
  const double information = 1 / std::max(variance, kMinVariance);
  return std::sqrt((information + kTunedInformation) *
                   std::log((information + kTunedInformation) / (kTunedInformation * alpha * alpha))) /
         information;
}

bool IsShare(CanaryMetric metric) {
  return metric == CanaryMetric::kFailed || metric == CanaryMetric::kRejected ||
         metric == CanaryMetric::kLate;
}

}  // namespace

const char* Name(CanaryMetric metric) { return kMetricNames[static_cast<std::size_t>(metric)]; }

void CanaryAnalysis::Sums::Add(const Sums& other) {
  count += other.count;
  sum += other.sum;
  sum_of_squares += other.sum_of_squares;
}

double CanaryAnalysis::Sums::Variance() const {
  if (count < 2) return 0;
  return std::max(0.0, (sum_of_squares - sum * sum / count) / (count - 1));
}

// Adds what happened between two samples of one process to `sums`.
void CanaryAnalysis::AddIncrease(const ClassMetrics& before, const ClassMetrics& now, MetricSums& sums) {
  const auto of = [&](CanaryMetric metric) -> Sums& { return sums[static_cast<std::size_t>(metric)]; };
  const double served = Increase(now.served, before.served);
  const double rejected = Increase(now.rejected, before.rejected);
  const double failed = Increase(now.failed, before.failed);
  const double in_time = std::min(served, Increase(now.in_time, before.in_time));
  const double concluded = served + rejected + failed;
  const double late = concluded - in_time;
  // Each request counts as 0 or 1, which is its own square.
  of(CanaryMetric::kFailed).Add({concluded, failed, failed});
  of(CanaryMetric::kRejected).Add({concluded, rejected, rejected});
  of(CanaryMetric::kLate).Add({concluded, late, late});
  const double started = Increase(now.started, before.started);
  if (started > 0)
    of(CanaryMetric::kFirstToken)
        .Add({started, now.first_token_ln_sum - before.first_token_ln_sum,
              std::max(0.0, now.first_token_ln_sum_of_squares - before.first_token_ln_sum_of_squares)});
  if (concluded > 0)
    of(CanaryMetric::kAttempts)
        .Add({concluded, std::max(0.0, now.attempts_sum - before.attempts_sum),
              std::max(0.0, now.attempts_sum_of_squares - before.attempts_sum_of_squares)});
}

void CanaryAnalysis::AddSample(Time now, const std::string& name, const std::string& zone, bool new_release,
                               const NodeMetrics& metrics) {
  Node& node = nodes_[name];
  const bool same_process = node.last && node.last->pid == metrics.pid && node.new_release == new_release;
  if (!same_process) {
    node.memory.clear();
    node.by_class.clear();
    node.new_release = new_release;
    node.zone = zone;
  }
  node.memory.emplace_back(now, static_cast<double>(metrics.memory_bytes));
  if (node.memory.size() > kMaxMemorySamples) node.memory.pop_front();
  const bool warming_up = !same_process || (ConcludedRequests(*node.last) < kWarmUpRequests &&
                                            ConcludedRequests(metrics) < kWarmUpRequests);
  if (!warming_up) {
    for (const auto& [class_name, class_metrics] : metrics.classes)
      AddClassSample(now, node, zone, class_name, class_metrics);
    if (strata_.size() > kMaxStrata) strata_.erase(strata_.begin());
  }
  node.last = metrics;
}

void CanaryAnalysis::AddClassSample(Time now, Node& node, const std::string& zone,
                                    const std::string& class_name, const ClassMetrics& metrics) {
  class_weights_[class_name] = metrics.priority_weight;
  const auto before = node.last->classes.find(class_name);
  const ClassMetrics from = before == node.last->classes.end() ? ClassMetrics{} : before->second;
  const std::int64_t window = now / thresholds_.window;
  const Cohort cohort = node.new_release ? kNew : kOld;
  for (CohortSums* sums : {&strata_[{class_name, zone, window}], &strata_[{kAllClasses, zone, window}],
                           &node.by_class[class_name], &node.by_class[kAllClasses]})
    AddIncrease(from, metrics, sums->by_cohort[cohort]);
}

CanaryAnalysis::Sums CanaryAnalysis::OldCohortLate() const {
  Sums late;
  for (const auto& [key, sums] : strata_) {
    if (key.class_name == kAllClasses)
      late.Add(sums.by_cohort[kOld][static_cast<std::size_t>(CanaryMetric::kLate)]);
  }
  return late;
}

void CanaryAnalysis::StartComparison() {
  const Sums late = OldCohortLate();
  if (late.count > 0) {
    baseline_late_share_ = late.sum / late.count;
    baseline_requests_ = late.count;
  }
  strata_.clear();
  for (auto& [name, node] : nodes_) node.by_class.clear();
}

// Returns all strata in which both cohorts have requests, pooled where a zone has one cohort only.
std::vector<CanaryAnalysis::Stratum> CanaryAnalysis::Strata(const std::string& class_name, std::size_t metric,
                                                            const Sums& all_old, const Sums& all_new) const {
  std::vector<Stratum> strata;
  // Strata are too small to estimate their own variance. The cohort's is used instead: strata are taken to
  // differ only in their means.
  const double old_variance = all_old.Variance();
  const double new_variance = all_new.Variance();
  const auto add = [&](const Sums& of_old, const Sums& of_new) {
    strata.push_back({of_old.count * of_new.count / (of_old.count + of_new.count),
                      of_new.Mean() - of_old.Mean(),
                      old_variance / of_old.count + new_variance / of_new.count});
  };
  struct Pooled {
    Sums of_old, of_new;
  };
  std::map<std::int64_t, Pooled> pooled_by_window;
  for (const auto& [key, sums] : strata_) {
    if (key.class_name != class_name) continue;
    const Sums& of_old = sums.by_cohort[kOld][metric];
    const Sums& of_new = sums.by_cohort[kNew][metric];
    if (of_old.count > 0 && of_new.count > 0) {
      add(of_old, of_new);
    } else {
      Pooled& pooled = pooled_by_window[key.window];
      pooled.of_old.Add(of_old);
      pooled.of_new.Add(of_new);
    }
  }
  // A zone may have one cohort only, because a stage is a whole zone or the zone's other nodes are dead. All
  // such zones of a window are pooled: zones may differ, but otherwise nothing could be compared.
  for (const auto& [window, pooled] : pooled_by_window) {
    if (pooled.of_old.count > 0 && pooled.of_new.count > 0) add(pooled.of_old, pooled.of_new);
  }
  return strata;
}

double CanaryAnalysis::AllowedDifference(CanaryMetric metric) const {
  switch (metric) {
    case CanaryMetric::kFailed:
      return thresholds_.failed_share;
    case CanaryMetric::kRejected:
      return thresholds_.rejected_share;
    case CanaryMetric::kLate:
      return thresholds_.late_share;
    case CanaryMetric::kFirstToken:
      return std::log1p(thresholds_.first_token_slowdown);
    default:
      return thresholds_.attempts_per_request;
  }
}

CohortComparison CanaryAnalysis::Compare(const std::string& class_name, CanaryMetric metric,
                                         double alpha) const {
  const auto index = static_cast<std::size_t>(metric);
  CohortComparison comparison{class_name, Name(metric)};
  Sums all_old;
  Sums all_new;
  for (const auto& [key, sums] : strata_) {
    if (key.class_name != class_name) continue;
    all_old.Add(sums.by_cohort[kOld][index]);
    all_new.Add(sums.by_cohort[kNew][index]);
  }
  comparison.new_requests = all_new.count;
  comparison.old_requests = all_old.count;
  comparison.new_mean = all_new.Mean();
  comparison.old_mean = all_old.Mean();
  comparison.half_width = kUnknownHalfWidth;

  const std::vector<Stratum> strata = Strata(class_name, index, all_old, all_new);
  double weights = 0;
  double weighted_difference = 0;
  double variance = 0;
  for (const Stratum& s : strata) {
    weights += s.weight;
    weighted_difference += s.weight * s.difference;
    variance += s.weight * s.weight * s.variance;
  }
  if (weights <= 0) return comparison;
  comparison.difference = weighted_difference / weights;
  variance /= weights * weights;
  // Windows and zones may differ by more than the chance of single requests explains.
  if (strata.size() >= kMinStrataToSpread) {
    double spread = 0;
    for (const Stratum& s : strata) spread += std::pow(s.weight * (s.difference - comparison.difference), 2);
    variance = std::max(variance, spread / (weights * weights));
  }
  // A share of which no case was observed need not be zero, so half a case among one more request is
  // added (continuity correction).
  if (IsShare(metric)) {
    const double share = (all_old.sum + all_new.sum + 0.5) / (all_old.count + all_new.count + 1);
    variance = std::max(variance, share * (1 - share) / weights);
  }
  if (all_new.count < kMinRequestsToCompare || all_old.count < kMinRequestsToCompare) return comparison;
  comparison.sampling_half_width = HalfWidth(variance, alpha);
  const NodeVariance nodes = VarianceBetweenNodes(class_name, index);
  if (nodes.new_nodes > 0 && nodes.old_nodes > 0)
    variance += nodes.variance * (1 / nodes.new_nodes + 1 / nodes.old_nodes);
  comparison.half_width = HalfWidth(variance, alpha);
  comparison.allowed = AllowedDifference(metric);
  comparison.worse = comparison.difference - comparison.half_width > comparison.allowed;
  comparison.possibly_worse =
      comparison.difference - kPossiblyWorsePart * comparison.half_width > comparison.allowed;
  return comparison;
}

// Returns the variance of the nodes' means in the old cohort beyond what the chance of single requests
// explains.
CanaryAnalysis::NodeVariance CanaryAnalysis::VarianceBetweenNodes(const std::string& class_name,
                                                                  std::size_t metric) const {
  NodeVariance result;
  double sum = 0;
  double sum_of_squares = 0;
  double within = 0;  // sum of the variances of the old nodes' means that sampling alone explains
  for (const auto& [name, node] : nodes_) {
    const auto at = node.by_class.find(class_name);
    if (at == node.by_class.end()) continue;
    const Sums& sums = at->second.by_cohort[node.new_release ? kNew : kOld][metric];
    if (sums.count < kMinRequestsOfNode) continue;
    if (node.new_release) {
      ++result.new_nodes;
      continue;
    }
    ++result.old_nodes;
    sum += sums.Mean();
    sum_of_squares += sums.Mean() * sums.Mean();
    within += sums.Variance() / sums.count;
  }
  const double n = result.old_nodes;
  if (n >= kMinOldNodes)
    result.variance = std::max(0.0, (sum_of_squares - sum * sum / n) / (n - 1) - within / n);
  return result;
}

// Returns how fast the memory of a cohort's processes grows: the median of their least-squares slopes.
CanaryAnalysis::MemoryGrowth CanaryAnalysis::GrowthOf(bool new_release) const {
  MemoryGrowth growth;
  std::vector<double> slopes;
  for (const auto& [name, node] : nodes_) {
    if (node.new_release != new_release || node.memory.size() < kMinMemorySamples) continue;
    // The first half of the samples is left out, because a process's buffers fill once after its start.
    const Time middle = (node.memory.front().first + node.memory.back().first) / 2;
    if (node.memory.back().first - middle < kMinGrowthSpan) continue;
    double n = 0;
    double sum_t = 0;
    double sum_m = 0;
    double sum_tt = 0;
    double sum_tm = 0;  // sums over the samples; t: hours since `middle`, m: memory in bytes
    for (const auto& [at, bytes] : node.memory) {
      if (at < middle) continue;
      const double t = static_cast<double>(at - middle) / kMicrosPerHour;
      ++n;
      sum_t += t;
      sum_m += bytes;
      sum_tt += t * t;
      sum_tm += t * bytes;
    }
    const double determinant = n * sum_tt - sum_t * sum_t;
    if (determinant > 0) slopes.push_back((n * sum_tm - sum_t * sum_m) / determinant);
    growth.limit = static_cast<double>(node.last->memory_limit_bytes);
  }
  if (slopes.empty()) return growth;
  const auto median = slopes.begin() + static_cast<std::ptrdiff_t>(slopes.size() / 2);
  std::nth_element(slopes.begin(), median, slopes.end());
  growth.bytes_per_hour = *median;
  return growth;
}

// ResourceLimitReached, MemoryLeak and EnvironmentChange return the reason for a verdict, or nullopt if there
// is none.
std::optional<std::string> CanaryAnalysis::ResourceLimitReached() const {
  const auto near_limit = [&](std::uint64_t used, std::uint64_t limit) {
    return limit > 0 && static_cast<double>(used) > thresholds_.resource_usage * static_cast<double>(limit);
  };
  for (const auto& [name, node] : nodes_) {
    if (!node.new_release) continue;
    if (near_limit(node.last->memory_bytes, node.last->memory_limit_bytes))
      return fmt::format("{} is near its memory limit", name);
    if (near_limit(node.last->descriptors, node.last->descriptor_limit))
      return fmt::format("{} is near its descriptor limit", name);
  }
  return std::nullopt;
}

std::optional<std::string> CanaryAnalysis::MemoryLeak() const {
  const MemoryGrowth new_growth = GrowthOf(true);
  const MemoryGrowth old_growth = GrowthOf(false);
  const double limit = old_growth.limit.value_or(new_growth.limit.value_or(0));
  double largest = 0;  // bytes of the new cohort's largest process
  for (const auto& [name, node] : nodes_) {
    if (node.new_release) largest = std::max(largest, static_cast<double>(node.last->memory_bytes));
  }
  const double excess = new_growth.bytes_per_hour - std::max(0.0, old_growth.bytes_per_hour);
  const bool leaks =
      limit > 0 && largest > kWarmUpMemory * limit && excess > thresholds_.memory_growth_per_hour * limit;
  if (!leaks) return std::nullopt;
  return fmt::format("memory grows by {:.1f} MiB an hour, by {:.1f} MiB an hour in the old cohort",
                     new_growth.bytes_per_hour / kBytesPerMiB, old_growth.bytes_per_hour / kBytesPerMiB);
}

std::optional<std::string> CanaryAnalysis::EnvironmentChange() const {
  const Sums late = OldCohortLate();
  if (late.count < kMinRequestsOfEnvironment || baseline_requests_ < kMinRequestsOfEnvironment)
    return std::nullopt;
  const double share = late.sum / late.count;
  const double chance = 4 * std::sqrt(0.25 / late.count + 0.25 / baseline_requests_);
  if (share - baseline_late_share_ <= thresholds_.environment_shift + chance) return std::nullopt;
  return fmt::format("the old cohort's share not served in time rose from {:.3g} to {:.3g}",
                     baseline_late_share_, share);
}

// Compares every class and then all classes together. Single classes and the total get half of the error rate
// each.
std::vector<CohortComparison> CanaryAnalysis::CompareAll() const {
  std::vector<CohortComparison> comparisons;
  if (class_weights_.empty()) return comparisons;
  const double half_rate = thresholds_.false_positive_rate / 2;
  const double alpha = half_rate / static_cast<double>(class_weights_.size() * kMetrics);
  const double alpha_all = half_rate / static_cast<double>(kMetrics);
  const auto compare = [&](const std::string& class_name, double rate) {
    for (std::size_t i = 0; i < kMetrics; ++i)
      comparisons.push_back(Compare(class_name, static_cast<CanaryMetric>(i), rate));
  };
  for (const auto& [class_name, weight] : class_weights_) compare(class_name, alpha);
  compare(kAllClasses, alpha_all);
  return comparisons;
}

// Returns the comparison with the largest weighted excess among those that are worse, or nullptr if none is.
const CohortComparison* CanaryAnalysis::Worst(const std::vector<CohortComparison>& comparisons) const {
  const auto excess = [&](const CohortComparison& c) {
    const auto at = class_weights_.find(c.class_name);
    const double weight = at == class_weights_.end() ? kAllClassesWeight : at->second;
    return weight * (c.difference - c.half_width - c.allowed);
  };
  const CohortComparison* worst = nullptr;
  for (const CohortComparison& c : comparisons) {
    if (c.worse && (worst == nullptr || excess(c) > excess(*worst))) worst = &c;
  }
  return worst;
}

// Whether the difference in failures is known precisely enough. Without an old cohort there is nothing to
// compare with; only resource limits and memory leaks can still fail the release.
bool CanaryAnalysis::FailuresKnown(const CohortComparison& failed) const {
  const bool no_old_cohort =
      std::all_of(nodes_.begin(), nodes_.end(), [](const auto& n) { return n.second.new_release; });
  return no_old_cohort || (failed.known() && failed.sampling_half_width <= thresholds_.failure_precision);
}

CanaryResult CanaryAnalysis::Evaluate(std::uint64_t min_requests) const {
  if (const auto reason = ResourceLimitReached()) return {CanaryVerdict::kFail, *reason, {}, 0};
  if (const auto reason = MemoryLeak()) return {CanaryVerdict::kFail, *reason, {}, 0};
  CanaryResult result;
  result.comparisons = CompareAll();
  bool failures_known = true;
  bool possibly_worse = false;
  if (!result.comparisons.empty()) {
    const auto all_classes = result.comparisons.end() - static_cast<std::ptrdiff_t>(kMetrics);
    result.new_requests = static_cast<std::uint64_t>(all_classes->new_requests);
    failures_known = FailuresKnown(*all_classes);  // CanaryMetric::kFailed comes first
    possibly_worse = std::any_of(all_classes, result.comparisons.end(),
                                 [](const CohortComparison& c) { return c.possibly_worse; });
  }
  if (const CohortComparison* worst = Worst(result.comparisons)) {
    result.verdict = CanaryVerdict::kFail;
    result.reason = fmt::format(
        "class {}: {} {:.4g}, {:.4g} in the old cohort at the same time (difference {:.4g} +- {:.4g})",
        worst->class_name, worst->metric, worst->new_mean, worst->old_mean, worst->difference,
        worst->half_width);
    return result;
  }
  if (const auto reason = EnvironmentChange()) {
    result.verdict = CanaryVerdict::kEnvironmentChanged;
    result.reason = *reason;
    return result;
  }
  const bool decided = !possibly_worse || result.new_requests >= kPossiblyWorseFactor * min_requests;
  const bool enough = result.new_requests >= min_requests && failures_known && decided;
  if (enough || min_requests == 0) result.verdict = CanaryVerdict::kPass;
  return result;
}

}  // namespace ryeglade::rollout
