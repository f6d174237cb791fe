// What a Router has learned, as plain data that one process can hand over to the next: averages, limits, how
// slow each replica is, and which prefixes are cached where. Times are microseconds on the clock of the
// events. The caller must pass finite numbers only; the Router bounds the values that it restores.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ryeglade::policy {

// The mean of the samples. Once there are `max_samples` of them, each new sample weighs 1 / `max_samples`.
struct RunningAverage {
  double mean = 0;
  double samples = 0;  // at most `max_samples`
  void Add(double sample, double max_samples) {
    samples = std::min(samples + 1, max_samples);
    mean += (sample - mean) / samples;
  }
  // Returns the mean shrunk towards `prior`, which counts as `weight` samples.
  double Shrunk(double prior, double weight) const {
    return (samples * mean + weight * prior) / (samples + weight);
  }
};

// A counter that decays exponentially with time, to 1/e of its value in `decay_time` microseconds.
struct DecayingCounter {
  double value = 0;  // at the time `updated_at`
  std::int64_t updated_at = 0;
  // The factor by which a value decays in `elapsed` microseconds.
  static double DecayFactor(std::int64_t elapsed, std::int64_t decay_time) {
    return elapsed <= 0 ? 1.0 : std::exp(-static_cast<double>(elapsed) / static_cast<double>(decay_time));
  }
  double ValueAt(std::int64_t now, std::int64_t decay_time) const {
    return value * DecayFactor(now - updated_at, decay_time);
  }
  void Add(std::int64_t now, std::int64_t decay_time, double amount) {
    value = ValueAt(now, decay_time) + amount;
    updated_at = now;
  }
};

// A mean whose samples decay exponentially with time.
struct DecayingAverage {
  DecayingCounter sum;
  DecayingCounter count;
  void Add(std::int64_t now, std::int64_t decay_time, double sample) {
    sum.Add(now, decay_time, sample);
    count.Add(now, decay_time, 1);
  }
  // Returns the mean shrunk towards 0, which counts as `weight` samples.
  double Shrunk(std::int64_t now, std::int64_t decay_time, double weight) const {
    return sum.ValueAt(now, decay_time) / (count.ValueAt(now, decay_time) + weight);
  }
};

// What this node has learned of one replica.
struct LearnedReplica {
  double slowness = 0;          // mean of ln(observed / expected runtime) over its answers
  double slowness_samples = 0;  // number of answers in that mean; decays with time
  std::int64_t slowness_updated_at = 0;
  double capacity_factor = 1;  // factor on its limit after "at capacity" answers, as of `capacity_updated_at`
  std::int64_t capacity_updated_at = 0;
  std::int64_t at_capacity_until = 0;  // no new attempts before then, after an "at capacity" answer
  int consecutive_failures = 0;
  std::int64_t ejected_until = 0;  // outlier ejection: no new attempts before then; 0: never ejected
  double slow_start_tokens = 0;    // requests that may be sent to it while it warms up
  std::int64_t slow_start_updated_at = 0;
  double reported_load = -1;  // last reported requests in flight, or else utilization; below 0: no report
  std::int64_t reported_at = 0;
};

struct LearnedState {
  // The pace of a class: mean ln(streaming time of an answer / work of the request). The work is the cost
  // hint, or 1 if the request has none.
  struct ClassPace {
    RunningAverage current;
    double best = 1e9;  // the lowest (fastest) value of the mean, raised a little by each answer
  };
  // The arrivals of one session or prefix, counted with a long and a short decay time.
  struct KeyTraffic {
    DecayingCounter long_term;
    DecayingCounter short_term;
  };
  // A prompt or shared prefix that this node sent to a replica at `cached_at`. The replica is assumed to have
  // it in its cache since then.
  struct CachedPrefix {
    double tokens = 0;  // length
    std::int64_t cached_at = 0;
  };
  struct Replica {
    std::uint32_t id = 0;
    std::int64_t started_at = 0;  // `learned` is used only while the replica is listed with this start time
    int in_flight = 0;            // this node's attempts at the replica at the time of the export
    LearnedReplica learned;
  };

  int node_count = 1;                // nodes of the tier among which the limits below are divided
  double base_limit = 0;             // this node's part of the limit of a replica of ordinary speed
  double limit_before_decrease = 0;  // the base limit that last had to be decreased; 0: none yet
  std::int64_t limit_decreased_at = 0;
  double late_share = 0;        // share of recent first tokens that were late, 0 to 1
  double pace_slowdown = 0;     // mean ln(pace of the streams now / their best pace)
  double objective_used = 0;    // mean part of the latency objective that first tokens took
  double retry_budget = 0;      // retries that the retry budget allows at present
  RunningAverage mean_runtime;  // of all served requests
  std::vector<ClassPace> pace_by_class;
  // By bucket of similar requests, see RuntimeEstimator.
  std::unordered_map<std::uint32_t, RunningAverage> runtime_by_bucket;
  std::unordered_map<std::uint32_t, RunningAverage> first_token_by_bucket;
  std::vector<RunningAverage> runtime_per_hint;  // by class: runtime / cost hint
  std::vector<RunningAverage> bucket_error;      // by class: squared ln(estimate from buckets / runtime)
  std::vector<RunningAverage> hint_error;  // by class: squared ln(estimate from the cost hint / runtime)
  std::vector<RunningAverage> slowness_by_kind;  // ln(observed / expected runtime)
  // ln(observed / expected runtime). Not handed over to another process, as it decays within seconds.
  std::vector<DecayingAverage> slowness_by_zone;
  std::unordered_map<std::uint64_t, KeyTraffic> key_traffic;  // by session key or prefix key
  DecayingCounter arrivals_long_term;                         // all arrivals at this node
  DecayingCounter arrivals_short_term;
  std::unordered_map<std::uint64_t, CachedPrefix> cached_prefixes;  // by session or prefix key, and replica
  std::vector<DecayingCounter> arrivals_by_tenant;
  DecayingCounter dispatches;     // this node's, to all replicas
  std::vector<Replica> replicas;  // for the handover only; a Router keeps the state of its replicas elsewhere
};

}  // namespace ryeglade::policy
