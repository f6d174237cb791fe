#include "lab/experiment/shrink.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <vector>

#include "lab/experiment/scenario_fields.h"

namespace ryeglade::experiment {
namespace {

double SizeOf(const ScenarioSpec& candidate) {
  const double burst = candidate.clients.burst_every > 0 ? std::max(1.0, candidate.clients.burst) : 1;
  return candidate.seconds *
             (1 + candidate.clients.per_second * burst + candidate.fleet.replicas + candidate.fleet.nodes) +
         static_cast<double>(candidate.faults.size() + candidate.classes.size() +
                             candidate.fleet.kinds.size());
}

class Shrinker {
 public:
  Shrinker(const ScenarioSpec& scenario, const std::function<bool(const ScenarioSpec&)>& fails,
           const ShrinkOptions& options)
      : best_(scenario), fails_(fails), options_(options) {}

  ShrinkResult Run() {
    ShrinkResult out;
    out.size_before = SizeOf(best_);
    if (!Fails(best_)) throw std::runtime_error("the scenario does not fail in that way; nothing to shrink");
    for (bool reduced = true; reduced && !BudgetSpent();) {
      reduced = false;
      reduced |= RemoveFaults();
      reduced |= RemoveFrom(&ScenarioSpec::classes, 1);
      reduced |= RemoveKinds();
      reduced |= ReduceLength();
      reduced |= ReduceSizes();
      reduced |= ReduceFaults();
    }
    RestoreDefaults();
    out.done = !BudgetSpent();
    out.scenario = best_;
    out.runs = runs_;
    out.size = SizeOf(best_);
    return out;
  }

 private:
  bool BudgetSpent() const { return runs_ >= options_.max_runs; }

  bool Fails(const ScenarioSpec& scenario) {
    if (BudgetSpent()) return false;
    ++runs_;
    bool fails = false;
    try {
      fails = fails_(scenario);
    } catch (const std::runtime_error&) {
      fails = false;  // an invalid scenario does not count as failing
    }
    if (options_.progress) options_.progress(runs_, SizeOf(fails ? scenario : best_));
    return fails;
  }
  bool Accept(const ScenarioSpec& scenario) {
    if (!Fails(scenario)) return false;
    best_ = scenario;
    return true;
  }

  // The ddmin algorithm over the faults: tries to remove parts of them, in ever smaller parts.
  bool RemoveFaults() {
    bool reduced = false;
    std::size_t parts = 2;
    while (!best_.faults.empty() && !BudgetSpent()) {
      parts = std::min(parts, best_.faults.size());
      const std::size_t size = (best_.faults.size() + parts - 1) / parts;
      bool removed = false;
      for (std::size_t at = 0; at < best_.faults.size() && !BudgetSpent(); at += size) {
        ScenarioSpec candidate = best_;
        candidate.faults.erase(candidate.faults.begin() + static_cast<std::ptrdiff_t>(at),
                               candidate.faults.begin() +
                                   static_cast<std::ptrdiff_t>(std::min(at + size, candidate.faults.size())));
        if (!Accept(candidate)) continue;
        reduced = removed = true;
        parts = std::max<std::size_t>(2, parts - 1);
        break;
      }
      if (removed) continue;
      if (size == 1) break;
      parts *= 2;
    }
    return reduced;
  }

  template <class T>
  bool RemoveFrom(std::vector<T> ScenarioSpec::*list, std::size_t least) {
    bool reduced = false;
    for (std::size_t n = 0; n < (best_.*list).size() && (best_.*list).size() > least;) {
      ScenarioSpec candidate = best_;
      (candidate.*list).erase((candidate.*list).begin() + static_cast<std::ptrdiff_t>(n));
      if (Accept(candidate)) {
        reduced = true;
      } else {
        ++n;
      }
    }
    return reduced;
  }

  bool RemoveKinds() {
    bool reduced = false;
    for (std::size_t n = 0; n < best_.fleet.kinds.size() && best_.fleet.kinds.size() > 1;) {
      ScenarioSpec candidate = best_;
      candidate.fleet.kinds.erase(candidate.fleet.kinds.begin() + static_cast<std::ptrdiff_t>(n));
      if (Accept(candidate)) {
        reduced = true;
      } else {
        ++n;
      }
    }
    return reduced;
  }

  // Finds the smallest value from `least` on that still fails, by bisection to within 5% (to within 1 if
  // `integral`). If failing is not monotonic in the value, the result is some value that fails.
  template <class Set>
  bool Bisect(double least, double now, bool integral, Set set) {
    if (now <= least || BudgetSpent()) return false;
    const auto at = [&](double v) {
      ScenarioSpec candidate = best_;
      set(candidate, v);
      return candidate;
    };
    if (Accept(at(least))) return true;
    double low = least, high = now;  // fails at high, does not at low
    while (!BudgetSpent() && (integral ? high - low > 1 : high - low > 0.05 * high)) {
      double middle = low > 0 && high / low > 4 ? std::sqrt(low * high) : (low + high) / 2;
      if (integral) middle = std::clamp(std::floor(middle), low + 1, high - 1);
      if (Accept(at(middle))) {
        high = middle;
      } else {
        low = middle;
      }
    }
    return high < now;
  }

  bool ReduceLength() {
    bool reduced = Bisect(0, best_.warm_up_s, false, [](ScenarioSpec& candidate, double v) {
      candidate.warm_up_s = std::round(v * 10) / 10;
    });
    const double least = std::max(1.0, best_.warm_up_s + 1);
    reduced |= Bisect(least, best_.seconds, false,
                      [](ScenarioSpec& candidate, double v) { candidate.seconds = std::ceil(v * 10) / 10; });
    return reduced;
  }

  bool ReduceSizes() {
    bool reduced = false;
    // First halves the fleet together with the load, so that the load of each replica stays the same.
    for (int n = 0; n < 12 && best_.fleet.replicas > 1 && !BudgetSpent(); ++n) {
      ScenarioSpec candidate = best_;
      candidate.fleet.replicas = (candidate.fleet.replicas + 1) / 2;
      candidate.clients.per_second *= static_cast<double>(candidate.fleet.replicas) / best_.fleet.replicas;
      for (FaultSpec& f : candidate.faults) {
        f.first = std::min(f.first, candidate.fleet.replicas - 1);
        f.count = std::max(1, (f.count + 1) / 2);
      }
      if (!Accept(candidate)) break;
      reduced = true;
    }
    reduced |= Bisect(1, best_.fleet.replicas, true, [](ScenarioSpec& candidate, double v) {
      candidate.fleet.replicas = static_cast<int>(v);
    });
    reduced |= Bisect(1, best_.fleet.nodes, true,
                      [](ScenarioSpec& candidate, double v) { candidate.fleet.nodes = static_cast<int>(v); });
    reduced |= Bisect(1, best_.fleet.zones, true,
                      [](ScenarioSpec& candidate, double v) { candidate.fleet.zones = static_cast<int>(v); });
    reduced |= Bisect(1, best_.fleet.racks, true,
                      [](ScenarioSpec& candidate, double v) { candidate.fleet.racks = static_cast<int>(v); });
    reduced |= Bisect(0, best_.clients.per_second, false,
                      [](ScenarioSpec& candidate, double v) { candidate.clients.per_second = v; });
    reduced |=
        Bisect(1, static_cast<double>(best_.clients.prefixes), true, [](ScenarioSpec& candidate, double v) {
          candidate.clients.prefixes = static_cast<std::uint64_t>(v);
        });
    reduced |= Bisect(1, best_.clients.session_turns, false,
                      [](ScenarioSpec& candidate, double v) { candidate.clients.session_turns = v; });
    reduced |= Bisect(1, best_.clients.max_tries, true, [](ScenarioSpec& candidate, double v) {
      candidate.clients.max_tries = static_cast<int>(v);
    });
    return reduced;
  }

  bool ReduceFaults() {
    bool reduced = false;
    for (std::size_t n = 0; n < best_.faults.size(); ++n) {
      const FaultSpec f = best_.faults[n];
      reduced |= Bisect(0, f.at, false, [n](ScenarioSpec& candidate, double v) {
        candidate.faults[n].at = std::round(v * 10) / 10;
      });
      reduced |= Bisect(0, f.lasts, false, [n](ScenarioSpec& candidate, double v) {
        candidate.faults[n].lasts = std::ceil(v * 10) / 10;
      });
      reduced |= Bisect(1, f.count, true, [n](ScenarioSpec& candidate, double v) {
        candidate.faults[n].count = static_cast<int>(v);
      });
      reduced |= Bisect(0, f.first, true, [n](ScenarioSpec& candidate, double v) {
        candidate.faults[n].first = static_cast<int>(v);
      });
    }
    return reduced;
  }

  // Visits the fields in order and sets field number `index` back to its default. If `index` is SIZE_MAX,
  // collects the defaults instead.
  class Reset {
   public:
    Reset(std::size_t index, std::vector<double>* defaults) : index_(index), defaults_(defaults) {}
    void Number(const char*, double& field, double, double) { ResetField(field); }
    template <class T>
    void Whole(const char*, T& field, std::int64_t, std::uint64_t) {
      ResetField(field);
    }
    void Span(const char*, Time& field, Time, Time) { ResetField(field); }
    void Seconds(const char*, double& field, double, double) { ResetField(field); }
    void Rate(const char*, double& field, double, double) { ResetField(field); }
    void Text(const char*, std::string&) {}
    void Flag(const char*, bool& field) { ResetField(field); }
    bool changed() const { return changed_; }

   private:
    template <class T>
    void ResetField(T& field) {
      if (defaults_->size() <= at_ && index_ == SIZE_MAX) defaults_->push_back(static_cast<double>(field));
      if (at_ == index_ && static_cast<double>(field) != (*defaults_)[at_]) {
        field = static_cast<T>((*defaults_)[at_]);
        changed_ = true;
      }
      ++at_;
    }
    std::size_t index_, at_ = 0;
    std::vector<double>* defaults_;
    bool changed_ = false;
  };

  template <class Part, class Visit>
  void RestoreDefaultsOf(Part part, Visit visit) {
    std::vector<double> defaults;
    ScenarioSpec default_spec;
    Reset collect(SIZE_MAX, &defaults);
    visit(collect, part(default_spec));
    for (std::size_t index = 0; index < defaults.size() && !BudgetSpent(); ++index) {
      ScenarioSpec candidate = best_;
      Reset reset(index, &defaults);
      visit(reset, part(candidate));
      if (reset.changed() && SizeOf(candidate) <= SizeOf(best_) * 1.05) Accept(candidate);
    }
  }

  void RestoreDefaults() {
    RestoreDefaultsOf([](ScenarioSpec& candidate) -> ClientSpec& { return candidate.clients; },
                      [](auto& v, auto& x) { VisitClients(v, x); });
    RestoreDefaultsOf([](ScenarioSpec& candidate) -> FleetSpec& { return candidate.fleet; },
                      [](auto& v, auto& x) { VisitFleet(v, x); });
    RestoreDefaultsOf([](ScenarioSpec& candidate) -> KindSpec& { return candidate.fleet.kinds.front(); },
                      [](auto& v, auto& x) { VisitKind(v, x); });
    RestoreDefaultsOf([](ScenarioSpec& candidate) -> ClassSpec& { return candidate.classes.front(); },
                      [](auto& v, auto& x) { VisitClass(v, x); });
  }

  ScenarioSpec best_;
  const std::function<bool(const ScenarioSpec&)>& fails_;
  const ShrinkOptions& options_;
  std::size_t runs_ = 0;
};

}  // namespace

ShrinkResult Shrink(const ScenarioSpec& scenario, const std::function<bool(const ScenarioSpec&)>& fails,
                    const ShrinkOptions& options) {
  return Shrinker(scenario, fails, options).Run();
}

}  // namespace ryeglade::experiment
