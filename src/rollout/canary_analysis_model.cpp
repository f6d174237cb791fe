#include "rollout/canary_analysis_model.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace ryeglade::rollout {
namespace {

constexpr const char* kNames[] = {"failed", "refused", "late", "first-token", "attempts"};
constexpr std::size_t kMostCells = 20'000;
constexpr std::size_t kMostSamples = 600;
constexpr Time kLeastGrowthSpan = 60'000'000;  // memory is looked at over no less
constexpr const char* kAll = "all";            // classes together
constexpr double kLeastToCompare = 30;
constexpr double kStart = 10;         // requests of a process that are its start: cold, and not counted
constexpr double kTuned = 500;        // information at which the boundary is tightest, as 1/variance
constexpr double kWarmMemory = 0.02;  // of the limit: growth below it is a start
// A difference that exceeds its guard by this part of its half width is doubtful: not proven, but a release
// that is no worse stays below it on nineteen of twenty looks.
constexpr double kDoubtful = 0.5;
constexpr std::uint64_t kDoubtfulFor = 4;  // times the requests of a stage: by then harm has shown itself

double Less(std::uint64_t now, std::uint64_t before) {
  return now > before ? static_cast<double>(now - before) : 0;
}

}  // namespace

const char* Name(Judgement j) {
  static constexpr const char* kWords[] = {"good", "worse", "wait", "world-changed"};
  return kWords[static_cast<std::size_t>(j)];
}

double Verdict::Sums::variance() const {
  if (n < 2) return 0;
  return std::max(0.0, (squares - sum * sum / n) / (n - 1));
}

// What happened between two looks at one process.
void Verdict::Take(const ClassFigures& b, const ClassFigures& a, Row& row) {
  const double served = Less(a.served, b.served), refused = Less(a.refused, b.refused),
               failed = Less(a.failed, b.failed), in_time = std::min(served, Less(a.in_time, b.in_time));
  const double n = served + refused + failed;
  const double bad[] = {failed, refused, n - in_time};
  for (int k = 0; k < 3; ++k) row[k].Add({n, bad[k], bad[k]});  // zeros and ones
  const double started = Less(a.started, b.started);
  if (started > 0)
    row[3].Add({started, a.first_ln - b.first_ln, std::max(0.0, a.first_ln_squared - b.first_ln_squared)});
  if (n > 0)
    row[4].Add(
        {n, std::max(0.0, a.attempts - b.attempts), std::max(0.0, a.attempts_squared - b.attempts_squared)});
}

void Verdict::Add(Time now, const std::string& name, const std::string& zone, bool fresh, const Figures& f) {
  Node& node = nodes_[name];
  const bool same = node.known && node.last.pid == f.pid && node.fresh == fresh;
  if (!same) {
    node.memory.clear();
    node.sums.clear();
    node.fresh = fresh;
    node.zone = zone;
  }
  const auto ended = [](const Figures& x) {
    std::uint64_t n = 0;
    for (const auto& [cls, c] : x.classes) n += c.ended();
    return static_cast<double>(n);
  };
  node.memory.emplace_back(now, static_cast<double>(f.memory));
  if (node.memory.size() > kMostSamples) node.memory.pop_front();
  // A process's first requests meet it cold, whichever release it runs: they count for neither.
  if (!same || (ended(node.last) < kStart && ended(f) < kStart)) {
    node.last = f;
    node.known = true;
    return;
  }
  for (const auto& [cls, c] : f.classes) {
    const auto before = node.last.classes.find(cls);
    worth_[cls] = c.worth;
    Cell& cell = cells_[{cls, zone, now / guards_.window}];
    const ClassFigures from = before == node.last.classes.end() ? ClassFigures{} : before->second;
    for (Cell* into : {&cell, &cells_[{kAll, zone, now / guards_.window}], &node.sums[cls], &node.sums[kAll]})
      Take(from, c, into->by_what[fresh ? 1 : 0]);
  }
  node.last = f;
  if (cells_.size() > kMostCells) cells_.erase(cells_.begin());
}

void Verdict::Restart() {
  double bad = 0, n = 0;
  for (const auto& [key, cell] : cells_) {
    if (key.cls != kAll) continue;
    n += cell.by_what[0][2].n;
    bad += cell.by_what[0][2].sum;
  }
  if (n > 0) past_bad_ = bad / n, past_n_ = n;
  cells_.clear();
  for (auto& [name, node] : nodes_) node.sums.clear();
}

// The difference new less old over the strata in which both were asked something.
Comparison Verdict::Compare(const std::string& cls, int what, double alpha) const {
  Comparison c{cls, kNames[what]};
  struct One {
    double weight, difference, variance;
  };
  std::vector<One> strata;
  Sums all[2];
  for (const auto& [key, cell] : cells_) {
    if (key.cls != cls) continue;
    for (int side = 0; side < 2; ++side) all[side].Add(cell.by_what[side][what]);
  }
  // Strata are small: their variance is borrowed from the cohort's, which they share but for their means.
  const double pooled[2] = {all[0].variance(), all[1].variance()};
  const auto stratum = [&](const Sums& o, const Sums& f) {
    strata.push_back({o.n * f.n / (o.n + f.n), f.mean() - o.mean(), pooled[0] / o.n + pooled[1] / f.n});
  };
  std::map<std::int64_t, std::pair<Sums, Sums>> alone;
  for (const auto& [key, cell] : cells_) {
    if (key.cls != cls) continue;
    const Sums &o = cell.by_what[0][what], &f = cell.by_what[1][what];
    if (o.n > 0 && f.n > 0) {
      stratum(o, f);
    } else {
      alone[key.window].first.Add(o), alone[key.window].second.Add(f);
    }
  }
  // Where a zone has one cohort only (a stage is a zone, or its other nodes are dead), what is left of the
  // window's zones is held against each other: zones may differ, but the alternative is to know nothing.
  for (const auto& [window, sums] : alone) {
    if (sums.first.n > 0 && sums.second.n > 0) stratum(sums.first, sums.second);
  }
  c.n_new = all[1].n, c.n_old = all[0].n;
  c.mean_new = all[1].mean(), c.mean_old = all[0].mean();
  double weights = 0, sum = 0, variance = 0;
  for (const One& s : strata) {
    weights += s.weight;
    sum += s.weight * s.difference;
    variance += s.weight * s.weight * s.variance;
  }
  c.half = 1e9;
  if (weights <= 0) return c;
  c.difference = sum / weights;
  variance /= weights * weights;
  // What windows and nodes differ by beyond chance of single requests.
  if (strata.size() >= 4) {
    double spread = 0;
    for (const One& s : strata) spread += std::pow(s.weight * (s.difference - c.difference), 2);
    variance = std::max(variance, spread / (weights * weights));
  }

  // A share of which nothing was seen is not known to be none: half a request more on each side.
  if (what < 3) {
    const double p = (all[0].sum + all[1].sum + 0.5) / (all[0].n + all[1].n + 1);
    variance = std::max(variance, p * (1 - p) / weights);
  }
  const auto boundary = [&](double v) {
    const double information = 1 / std::max(v, 1e-12);
    return std::sqrt((information + kTuned) * std::log((information + kTuned) / (kTuned * alpha * alpha))) /
           information;
  };
  // The boundary is asymptotic: of a handful of requests it says nothing.
  if (c.n_new < kLeastToCompare || c.n_old < kLeastToCompare) return c;
  c.by_chance = boundary(variance);
  double fresh_nodes = 0, old_nodes = 0;
  const double between = BetweenNodes(cls, what, &fresh_nodes, &old_nodes);
  if (fresh_nodes > 0 && old_nodes > 0) variance += between * (1 / fresh_nodes + 1 / old_nodes);
  c.half = boundary(variance);
  const double allowed[] = {guards_.failed, guards_.refused, guards_.late, std::log1p(guards_.slower),
                            guards_.attempts};
  c.allowed = allowed[what];
  c.worse = c.difference - c.half > c.allowed;
  c.doubtful = c.difference - kDoubtful * c.half > c.allowed;
  return c;
}

// The variance of nodes' own means in the old cohort, beyond what chance of single requests makes of it.
double Verdict::BetweenNodes(const std::string& cls, int what, double* fresh, double* old) const {
  double n = 0, sum = 0, squares = 0, within = 0;
  for (const auto& [name, node] : nodes_) {
    const auto at = node.sums.find(cls);
    if (at == node.sums.end()) continue;
    const Sums& s = at->second.by_what[node.fresh ? 1 : 0][what];
    if (s.n < 20) continue;
    if (node.fresh) {
      ++*fresh;
      continue;
    }
    ++n, sum += s.mean(), squares += s.mean() * s.mean();
    within += s.variance() / s.n;
  }
  *old = n;
  if (n < 3) return 0;
  return std::max(0.0, (squares - sum * sum / n) / (n - 1) - within / n);
}

// How fast the cohort's processes grow, in bytes an hour: the median of each one's slope by least squares.
double Verdict::Growth(bool fresh, double* limit) const {
  std::vector<double> slopes;
  for (const auto& [name, node] : nodes_) {
    if (node.fresh != fresh || node.memory.size() < 10) continue;
    // Its first half is a start: buffers fill once.
    const Time half = (node.memory.front().first + node.memory.back().first) / 2;
    if (node.memory.back().first - half < kLeastGrowthSpan) continue;
    double n = 0, st = 0, sm = 0, stt = 0, stm = 0;
    for (const auto& [at, bytes] : node.memory) {
      if (at < half) continue;
      const double t = static_cast<double>(at - half) / 3.6e9;
      ++n, st += t, sm += bytes, stt += t * t, stm += t * bytes;
    }
    const double d = n * stt - st * st;
    if (d > 0) slopes.push_back((n * stm - st * sm) / d);
    *limit = static_cast<double>(node.last.most_memory);
  }
  if (slopes.empty()) return 0;
  std::nth_element(slopes.begin(), slopes.begin() + static_cast<std::ptrdiff_t>(slopes.size() / 2),
                   slopes.end());
  return slopes[slopes.size() / 2];
}

Outcome Verdict::Judge(std::uint64_t least_requests) const {
  Outcome out;
  for (const auto& [name, node] : nodes_) {
    if (!node.fresh) continue;
    const Figures& f = node.last;
    const auto near = [&](std::uint64_t used, std::uint64_t most) {
      return most > 0 && static_cast<double>(used) > guards_.memory_share * static_cast<double>(most);
    };
    if (near(f.memory, f.most_memory) || near(f.descriptors, f.most_descriptors)) {
      out.judgement = Judgement::kWorse;
      out.why = fmt::format("{} is near its limit of {}", name,
                            near(f.memory, f.most_memory) ? "memory" : "descriptors");
      return out;
    }
  }
  double limit = 0;
  const double growth = Growth(true, &limit), usual = Growth(false, &limit);
  double held = 0;
  for (const auto& [name, node] : nodes_) {
    if (node.fresh) held = std::max(held, static_cast<double>(node.last.memory));
  }
  if (limit > 0 && held > kWarmMemory * limit && growth - std::max(0.0, usual) > guards_.growth * limit) {
    out.judgement = Judgement::kWorse;
    out.why = fmt::format("memory grows by {:.1f} MiB an hour, {:.1f} in the old cohort", growth / 1048576,
                          usual / 1048576);
    return out;
  }
  // Half of the error rate for all classes together, half for each by itself.
  const double alpha =
      guards_.error_rate / 2 / std::max<double>(1, static_cast<double>(worth_.size() * kWhats));
  const double alpha_all = guards_.error_rate / 2 / kWhats;
  const Comparison* worst = nullptr;
  for (const auto& [cls, worth] : worth_) {
    for (int what = 0; what < kWhats; ++what) out.comparisons.push_back(Compare(cls, what, alpha));
  }
  bool sure = true;
  if (!worth_.empty()) {
    for (int what = 0; what < kWhats; ++what) out.comparisons.push_back(Compare(kAll, what, alpha_all));
    const Comparison& failed = out.comparisons[out.comparisons.size() - kWhats];
    out.least_new = static_cast<std::uint64_t>(failed.n_new);
    // Without an old cohort there is nothing to be sure against: hard stops are all that is left.
    const bool alone =
        std::none_of(nodes_.begin(), nodes_.end(), [](const auto& n) { return !n.second.fresh; });
    sure = alone || (failed.half < 1e6 && failed.by_chance <= guards_.sure);
  }
  const auto of_all = [](const Comparison& c) { return c.cls == kAll; };
  const bool doubtful = std::any_of(out.comparisons.begin(), out.comparisons.end(),
                                    [&](const Comparison& c) { return of_all(c) && c.doubtful; });
  for (const Comparison& c : out.comparisons) {
    if (!c.worse) continue;
    const auto over = [&](const Comparison& x) {
      return (worth_.contains(x.cls) ? worth_.at(x.cls) : 0.5) * (x.difference - x.half - x.allowed);
    };
    if (worst == nullptr || over(c) > over(*worst)) worst = &c;
  }
  if (worst != nullptr) {
    out.judgement = Judgement::kWorse;
    out.why = fmt::format(
        "class {}: {} {:.4g}, {:.4g} in the old cohort at the same time (difference {:.4g} +- {:.4g})",
        worst->cls, worst->what, worst->mean_new, worst->mean_old, worst->difference, worst->half);
    return out;
  }
  double bad = 0, n = 0;
  for (const auto& [key, cell] : cells_) {
    if (key.cls != kAll) continue;
    n += cell.by_what[0][2].n;
    bad += cell.by_what[0][2].sum;
  }
  if (n >= 50 && past_n_ >= 50) {
    const double rise = bad / n - past_bad_;
    const double chance = 4 * std::sqrt(0.25 / n + 0.25 / past_n_);
    if (rise > guards_.world + chance) {
      out.judgement = Judgement::kWorld;
      out.why = fmt::format("the old cohort's share not served in time rose from {:.3g} to {:.3g}", past_bad_,
                            bad / n);
      return out;
    }
  }
  const bool settled = !doubtful || out.least_new >= kDoubtfulFor * least_requests;
  const bool enough = out.least_new >= least_requests && sure && settled;
  if (enough || least_requests == 0) out.judgement = Judgement::kGood;
  return out;
}

}  // namespace ryeglade::rollout
