// What a Router has learned, as plain data, so that one process can hand it to the next: averages, levels,
// how slow each replica is, what is kept where. Times are microseconds of the same clock as the events'.
// Whoever passes it on keeps every number finite; the Router bounds what it takes.
#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <unordered_map>
#include <utility>
#include <vector>

namespace ryeglade::policy {

// A mean that looks back on at most `memory` samples.
struct Average {
  double mean = 0;
  double n = 0;
  void Add(double x, double memory) {
    n = std::min(n + 1, memory);
    mean += (x - mean) / n;
  }
  double Shrunk(double parent, double weight) const { return (n * mean + weight * parent) / (n + weight); }
};

// Counts that fade with time.
struct Faded {
  double value = 0;
  std::int64_t at = 0;
  static double Fade(std::int64_t passed, std::int64_t memory) {
    return passed <= 0 ? 1.0 : std::exp(-static_cast<double>(passed) / static_cast<double>(memory));
  }
  double Now(std::int64_t now, std::int64_t memory) const { return value * Fade(now - at, memory); }
  void Add(std::int64_t now, std::int64_t memory, double x) {
    value = Now(now, memory) + x;
    at = now;
  }
};

// A mean whose samples fade with time.
struct FadedAverage {
  Faded sum;
  Faded count;
  void Add(std::int64_t now, std::int64_t memory, double x) {
    sum.Add(now, memory, x);
    count.Add(now, memory, 1);
  }
  // Shrunk towards 0 by `weight` samples.
  double Shrunk(std::int64_t now, std::int64_t memory, double weight) const {
    return sum.Now(now, memory) / (count.Now(now, memory) + weight);
  }
};

struct LearnedReplica {
  double slow = 0;    // mean ln(observed / expected) of its own answers
  double slow_n = 0;  // how many answers that rests on, fading
  std::int64_t slow_at = 0;
  double full = 1;  // what 'full' answers left of its cap
  std::int64_t full_at = 0;
  std::int64_t no_room_until = 0;  // just said 'full'
  int failures = 0;                // in a row
  std::int64_t blocked_until = 0;
  double cold_tokens = 0;  // requests that may be sent while it is cold
  std::int64_t cold_at = 0;
  double load = -1;  // last report: requests in flight there, or the share of it in use; < 0: none
  std::int64_t load_at = 0;
};

struct Learned {
  struct Pace {
    Average now;
    double best = 1e9;
  };
  struct KeyUse {
    Faded slow, fast;
  };
  struct Kept {
    double tokens = 0;
    std::int64_t at = 0;
  };
  struct Replica {
    std::uint32_t id = 0;
    std::int64_t started_at = 0;  // as it was told; another start makes the rest mean nothing
    int out = 0;                  // attempts out there when this was taken
    LearnedReplica seen;
  };

  int nodes = 1;             // of the tier, that `level` is one node's part of
  double level = 0;          // cap of a replica of ordinary speed, this node's part of it
  double fell_from = 0;      // the level above which caps fell last; 0: never
  std::int64_t fell_at = 0;  // when
  double late = 0;           // share of recent first tokens that were late
  double pace = 0;           // mean ln of how much slower streams run than at their best
  double wait = 0;           // mean part of its aim that a first token takes
  double retry_budget = 0;
  Average round_trip;
  std::vector<Pace> pace_by_class;
  std::unordered_map<std::uint32_t, Average> runtime;      // by bucket
  std::unordered_map<std::uint32_t, Average> first_token;  // by bucket
  std::vector<Average> per_hint;                           // by class: runtime over hint
  std::vector<Average> bucket_error, hint_error;           // by class: squared ln of estimate over runtime
  std::vector<Average> kind_slow;
  std::vector<FadedAverage> zone_slow;  // ln(observed / expected) by zone; not handed on, as it fades soon
  std::unordered_map<std::uint64_t, KeyUse> keys;
  Faded arrivals_slow, arrivals_fast;
  std::unordered_map<std::uint64_t, Kept> kept;  // by session or beginning, and replica
  std::vector<Faded> tenant_use;
  Faded sends;
  std::vector<Replica> replicas;  // only in what is handed on; a Router keeps its own elsewhere
};

}  // namespace ryeglade::policy
