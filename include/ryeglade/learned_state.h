// What a Router has learned, as plain data, so that one process can hand it to the next: averages, limits,
// how slow each replica is, which prefixes are cached where. Times are microseconds of the same clock as the
// events'. Whoever passes it on keeps every number finite; the Router bounds what it takes.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <vector>

namespace ryeglade::policy {

// A mean that looks back on at most `memory` samples.
struct RunningAverage {
  double mean = 0;
  double samples = 0;
  void Add(double sample, double memory) {
    samples = std::min(samples + 1, memory);
    mean += (sample - mean) / samples;
  }
  // Shrunk towards `prior`, which counts as `weight` samples.
  double Shrunk(double prior, double weight) const {
    return (samples * mean + weight * prior) / (samples + weight);
  }
};

// A counter that decays exponentially with time: to 1/e of its value in `memory` microseconds.
struct DecayingCounter {
  double value = 0;  // as of `updated_at`
  std::int64_t updated_at = 0;
  // What is left of 1 after `elapsed`.
  static double DecayFactor(std::int64_t elapsed, std::int64_t memory) {
    return elapsed <= 0 ? 1.0 : std::exp(-static_cast<double>(elapsed) / static_cast<double>(memory));
  }
  double ValueAt(std::int64_t now, std::int64_t memory) const {
    return value * DecayFactor(now - updated_at, memory);
  }
  void Add(std::int64_t now, std::int64_t memory, double amount) {
    value = ValueAt(now, memory) + amount;
    updated_at = now;
  }
};

// A mean whose samples decay exponentially with time.
struct DecayingAverage {
  DecayingCounter sum;
  DecayingCounter count;
  void Add(std::int64_t now, std::int64_t memory, double sample) {
    sum.Add(now, memory, sample);
    count.Add(now, memory, 1);
  }
  // Shrunk towards 0, which counts as `weight` samples.
  double Shrunk(std::int64_t now, std::int64_t memory, double weight) const {
    return sum.ValueAt(now, memory) / (count.ValueAt(now, memory) + weight);
  }
};

// What this node has learned of one replica.
struct LearnedReplica {
  double slowness = 0;          // mean ln(observed / expected) of its own answers
  double slowness_samples = 0;  // how many answers that rests on, decaying
  std::int64_t slowness_updated_at = 0;
  double capacity_factor = 1;  // what "at capacity" answers left of its limit
  std::int64_t capacity_updated_at = 0;
  std::int64_t at_capacity_until = 0;  // it has just answered "at capacity"
  int consecutive_failures = 0;
  std::int64_t ejected_until = 0;  // outlier ejection after failures
  double slow_start_tokens = 0;    // requests that may be sent while it warms up
  std::int64_t slow_start_updated_at = 0;
  double reported_load = -1;  // last report: requests in flight there, or its utilization; < 0: none
  std::int64_t reported_at = 0;
};

struct LearnedState {
  // How long a class's answers take for each unit of work, ln, now and at its best.
  struct ClassPace {
    RunningAverage current;
    double best = 1e9;
  };
  // Arrivals under one key, over a long and a short memory.
  struct KeyTraffic {
    DecayingCounter long_term;
    DecayingCounter short_term;
  };
  struct CachedPrefix {
    double tokens = 0;
    std::int64_t cached_at = 0;
  };
  struct Replica {
    std::uint32_t id = 0;
    std::int64_t started_at = 0;  // as it was told; another start makes the rest mean nothing
    int in_flight = 0;            // attempts there when this was taken
    LearnedReplica learned;
  };

  int node_count = 1;                // of the tier, that `base_limit` is one node's part of
  double base_limit = 0;             // limit of a replica of ordinary speed, this node's part of it
  double limit_before_decrease = 0;  // the base limit above which limits fell last; 0: never
  std::int64_t limit_decreased_at = 0;
  double late_share = 0;      // of recent first tokens
  double pace_slowdown = 0;   // mean ln of how much slower streams run than at their best
  double objective_used = 0;  // mean part of its latency objective that a first token takes
  double retry_budget = 0;
  RunningAverage mean_runtime;
  std::vector<ClassPace> pace_by_class;
  std::unordered_map<std::uint32_t, RunningAverage> runtime_by_bucket;
  std::unordered_map<std::uint32_t, RunningAverage> first_token_by_bucket;
  std::vector<RunningAverage> runtime_per_hint;  // by class: runtime over cost hint
  std::vector<RunningAverage> bucket_error;      // by class: squared ln of estimate over runtime
  std::vector<RunningAverage> hint_error;        // the same of the estimate from hints
  std::vector<RunningAverage> slowness_by_kind;
  std::vector<DecayingAverage> slowness_by_zone;  // ln(observed / expected); not handed on, it decays soon
  std::unordered_map<std::uint64_t, KeyTraffic> key_traffic;  // by session or prefix
  DecayingCounter arrivals_long_term;
  DecayingCounter arrivals_short_term;
  std::unordered_map<std::uint64_t, CachedPrefix> cached_prefixes;  // by session or prefix, and replica
  std::vector<DecayingCounter> arrivals_by_tenant;
  DecayingCounter dispatches;
  std::vector<Replica> replicas;  // only in what is handed on; a Router keeps its own elsewhere
};

}  // namespace ryeglade::policy
