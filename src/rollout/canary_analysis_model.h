// Does the new release do worse than the old one, beside it, at the same time? Cohort against cohort, class
// by class, looked at as often as one likes. No I/O, no clock.
//
// What is compared: the share of requests that failed, that were refused, and that were not served in time;
// the mean of ln(first token); the mean of attempts. Each is a difference of means taken within strata (a
// window of time, a zone; zones that have one cohort only are taken together) and put together with Mantel
// and Haenszel's weights, so that neither unequal traffic nor a world that changes counts as a difference
// between cohorts. Its variance is the larger of what the samples say within the strata and of how much the
// strata differ from each other(windows are not independent requests), and to it comes what nodes of the old
// cohort differ by among themselves: one node may do worse than others with any release.
//
// Looked at all the time: Robbins' normal mixture boundary (Robbins 1970; Howard, Ramdas, McAuliffe, Sekhon
// 2021, "Time-uniform, nonparametric, nonasymptotic confidence sequences"; asymptotic as in Waudby-Smith and
// others 2021). The error rate is divided among all comparisons (Bonferroni).
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "rollout/metrics_model.h"

namespace ryeglade::rollout {

using Time = std::int64_t;  // microseconds

struct Guards {
  double error_rate =
      0.01;  // of one whole rollout: a release that does not do worse is stopped at most so often
  double failed = 0.005;  // shares by which the new may do worse before it is worse at all,
  double refused = 0.01;
  double late = 0.02;
  double slower = 0.05;       // first tokens: this part slower
  double attempts = 0.05;     // attempts a request
  double memory_share = 0.9;  // of the limit: a hard stop
  double growth = 0.10;       // of the limit an hour, more than the old cohort grows: a leak
  double sure = 0.02;         // failures have to be known to within this before a release is good
  double world = 0.15;        // the old cohort's bad share above its own before: the world has changed
  Time window = 10'000'000;   // of a stratum
};

enum class Judgement : std::uint8_t { kGood, kWorse, kWait, kWorld };
const char* Name(Judgement j);

struct Comparison {
  std::string cls, what;  // "failed", "refused", "late", "first-token", "attempts"
  double n_new = 0, n_old = 0;
  double mean_new = 0, mean_old = 0;
  double difference = 0, half = 0;  // of the confidence sequence
  double by_chance = 0;             // the half that single requests' chance alone would leave
  double allowed = 0;
  bool worse = false;
  bool doubtful = false;  // it may be worse: more requests are wanted before the release counts as good
};

struct Outcome {
  Judgement judgement = Judgement::kWait;
  std::string why;
  std::vector<Comparison> comparisons;
  std::uint64_t least_new = 0;  // requests of the new cohort, over all classes
};

class Verdict {
 public:
  explicit Verdict(Guards guards) : guards_(guards) {}
  // What a node says now. `fresh`: it runs the new release. A process that is new counts from nothing.
  void Add(Time now, const std::string& node, const std::string& zone, bool fresh, const Figures& figures);
  // From here on, with what came before as the world's past.
  void Restart();
  Outcome Judge(std::uint64_t least_requests) const;

 private:
  struct Sums {
    double n = 0, sum = 0, squares = 0;
    void Add(const Sums& o) { n += o.n, sum += o.sum, squares += o.squares; }
    double mean() const { return n > 0 ? sum / n : 0; }
    double variance() const;
  };
  static constexpr int kWhats = 5;
  using Row = Sums[kWhats];
  struct Cell {
    Row by_what[2];  // old, new
  };
  struct Key {
    std::string cls, zone;
    std::int64_t window;
    auto operator<=>(const Key&) const = default;
  };
  struct Node {
    Figures last;
    bool known = false;
    std::deque<std::pair<Time, double>> memory;  // of this process
    bool fresh = false;
    std::string zone;
    std::map<std::string, Cell> sums;  // of this process, by class; only its own cohort's side
  };
  static void Take(const ClassFigures& before, const ClassFigures& now, Row& row);
  Comparison Compare(const std::string& cls, int what, double alpha) const;
  double BetweenNodes(const std::string& cls, int what, double* fresh, double* old) const;
  double Growth(bool fresh, double* limit) const;

  Guards guards_;
  std::map<Key, Cell> cells_;
  std::map<std::string, double> worth_;
  std::map<std::string, Node> nodes_;
  double past_bad_ = 0, past_n_ = 0;  // of the old cohort, before the restart
};

}  // namespace ryeglade::rollout
