#include "lab/experiment/shrink.h"

#include <algorithm>
#include <cmath>
#include <stdexcept>
#include <vector>

#include "lab/experiment/scenario_fields.h"

namespace ryeglade::experiment {
namespace {

double SizeOf(const ScenarioSpec& d) {
  const double more = d.clients.burst_every > 0 ? std::max(1.0, d.clients.burst) : 1;
  return d.seconds * (1 + d.clients.per_second * more + d.fleet.replicas + d.fleet.nodes) +
         static_cast<double>(d.faults.size() + d.classes.size() + d.fleet.kinds.size());
}

class Shrinker {
 public:
  Shrinker(const ScenarioSpec& day, const std::function<bool(const ScenarioSpec&)>& wrong,
           const ShrinkOptions& options)
      : best_(day), wrong_(wrong), options_(options) {}

  ShrinkResult Run() {
    ShrinkResult out;
    out.size_before = SizeOf(best_);
    if (!Ask(best_)) throw std::runtime_error("the day given does not go wrong that way; nothing to shrink");
    for (bool gave = true; gave && !Spent();) {
      gave = false;
      gave |= Faults();
      gave |= List(&ScenarioSpec::classes, 1);
      gave |= Kinds();
      gave |= Length();
      gave |= Smaller();
      gave |= FaultTimes();
    }
    Ordinary();
    out.done = !Spent();
    out.day = best_;
    out.plays = plays_;
    out.size = SizeOf(best_);
    return out;
  }

 private:
  bool Spent() const { return plays_ >= options_.max_runs; }

  bool Ask(const ScenarioSpec& day) {
    if (Spent()) return false;
    ++plays_;
    bool yes = false;
    try {
      yes = wrong_(day);
    } catch (const std::runtime_error&) {
      yes = false;  // a day that makes no sense is not a smaller one
    }
    if (options_.progress) options_.progress(plays_, SizeOf(yes ? day : best_));
    return yes;
  }
  bool Take(const ScenarioSpec& day) {
    if (!Ask(day)) return false;
    best_ = day;
    return true;
  }

  // ddmin over the faults: without a part of them, in ever smaller parts.
  bool Faults() {
    bool gave = false;
    std::size_t parts = 2;
    while (!best_.faults.empty() && !Spent()) {
      parts = std::min(parts, best_.faults.size());
      const std::size_t size = (best_.faults.size() + parts - 1) / parts;
      bool less = false;
      for (std::size_t at = 0; at < best_.faults.size() && !Spent(); at += size) {
        ScenarioSpec d = best_;
        d.faults.erase(d.faults.begin() + static_cast<std::ptrdiff_t>(at),
                       d.faults.begin() + static_cast<std::ptrdiff_t>(std::min(at + size, d.faults.size())));
        if (!Take(d)) continue;
        gave = less = true;
        parts = std::max<std::size_t>(2, parts - 1);
        break;
      }
      if (less) continue;
      if (size == 1) break;
      parts *= 2;
    }
    return gave;
  }

  template <class T>
  bool List(std::vector<T> ScenarioSpec::*list, std::size_t least) {
    bool gave = false;
    for (std::size_t n = 0; n < (best_.*list).size() && (best_.*list).size() > least;) {
      ScenarioSpec d = best_;
      (d.*list).erase((d.*list).begin() + static_cast<std::ptrdiff_t>(n));
      if (Take(d)) {
        gave = true;
      } else {
        ++n;
      }
    }
    return gave;
  }

  bool Kinds() {
    bool gave = false;
    for (std::size_t n = 0; n < best_.fleet.kinds.size() && best_.fleet.kinds.size() > 1;) {
      ScenarioSpec d = best_;
      d.fleet.kinds.erase(d.fleet.kinds.begin() + static_cast<std::ptrdiff_t>(n));
      if (Take(d)) {
        gave = true;
      } else {
        ++n;
      }
    }
    return gave;
  }

  // The smallest value from `least` on that still goes wrong, by bisection to within a twentieth (or 1 where
  // whole). What is not monotonic ends somewhere on the way, which is still a day that goes wrong.
  template <class Set>
  bool Bisect(double least, double now, bool whole, Set set) {
    if (now <= least || Spent()) return false;
    const auto at = [&](double v) {
      ScenarioSpec d = best_;
      set(d, v);
      return d;
    };
    if (Take(at(least))) return true;
    double low = least, high = now;  // wrong at high, not at low
    while (!Spent() && (whole ? high - low > 1 : high - low > 0.05 * high)) {
      double middle = low > 0 && high / low > 4 ? std::sqrt(low * high) : (low + high) / 2;
      if (whole) middle = std::clamp(std::floor(middle), low + 1, high - 1);
      if (Take(at(middle))) {
        high = middle;
      } else {
        low = middle;
      }
    }
    return high < now;
  }

  bool Length() {
    bool gave = Bisect(0, best_.warm_up_s, false,
                       [](ScenarioSpec& d, double v) { d.warm_up_s = std::round(v * 10) / 10; });
    const double least = std::max(1.0, best_.warm_up_s + 1);
    gave |= Bisect(least, best_.seconds, false,
                   [](ScenarioSpec& d, double v) { d.seconds = std::ceil(v * 10) / 10; });
    return gave;
  }

  bool Smaller() {
    bool gave = false;
    // Fleet and load together, first: halves that keep what each replica gets.
    for (int n = 0; n < 12 && best_.fleet.replicas > 1 && !Spent(); ++n) {
      ScenarioSpec d = best_;
      d.fleet.replicas = (d.fleet.replicas + 1) / 2;
      d.clients.per_second *= static_cast<double>(d.fleet.replicas) / best_.fleet.replicas;
      for (FaultSpec& f : d.faults) {
        f.first = std::min(f.first, d.fleet.replicas - 1);
        f.count = std::max(1, (f.count + 1) / 2);
      }
      if (!Take(d)) break;
      gave = true;
    }
    gave |= Bisect(1, best_.fleet.replicas, true,
                   [](ScenarioSpec& d, double v) { d.fleet.replicas = static_cast<int>(v); });
    gave |= Bisect(1, best_.fleet.nodes, true,
                   [](ScenarioSpec& d, double v) { d.fleet.nodes = static_cast<int>(v); });
    gave |= Bisect(1, best_.fleet.zones, true,
                   [](ScenarioSpec& d, double v) { d.fleet.zones = static_cast<int>(v); });
    gave |= Bisect(1, best_.fleet.racks, true,
                   [](ScenarioSpec& d, double v) { d.fleet.racks = static_cast<int>(v); });
    gave |= Bisect(0, best_.clients.per_second, false,
                   [](ScenarioSpec& d, double v) { d.clients.per_second = v; });
    gave |= Bisect(1, static_cast<double>(best_.clients.prefixes), true,
                   [](ScenarioSpec& d, double v) { d.clients.prefixes = static_cast<std::uint64_t>(v); });
    gave |= Bisect(1, best_.clients.session_turns, false,
                   [](ScenarioSpec& d, double v) { d.clients.session_turns = v; });
    gave |= Bisect(1, best_.clients.max_tries, true,
                   [](ScenarioSpec& d, double v) { d.clients.max_tries = static_cast<int>(v); });
    return gave;
  }

  bool FaultTimes() {
    bool gave = false;
    for (std::size_t n = 0; n < best_.faults.size(); ++n) {
      const FaultSpec f = best_.faults[n];
      gave |= Bisect(0, f.at, false,
                     [n](ScenarioSpec& d, double v) { d.faults[n].at = std::round(v * 10) / 10; });
      gave |= Bisect(0, f.lasts, false,
                     [n](ScenarioSpec& d, double v) { d.faults[n].lasts = std::ceil(v * 10) / 10; });
      gave |= Bisect(1, f.count, true,
                     [n](ScenarioSpec& d, double v) { d.faults[n].count = static_cast<int>(v); });
      gave |= Bisect(0, f.first, true,
                     [n](ScenarioSpec& d, double v) { d.faults[n].first = static_cast<int>(v); });
    }
    return gave;
  }

  // Visits fields in order and puts the one whose turn it is back to its ordinary value.
  class Reset {
   public:
    Reset(std::size_t turn, std::vector<double>* usual) : turn_(turn), usual_(usual) {}
    void Number(const char*, double& field, double, double) { One(field); }
    template <class T>
    void Whole(const char*, T& field, std::int64_t, std::uint64_t) {
      One(field);
    }
    void Span(const char*, Time& field, Time, Time) { One(field); }
    void Seconds(const char*, double& field, double, double) { One(field); }
    void Rate(const char*, double& field, double, double) { One(field); }
    void Text(const char*, std::string&) {}
    void Flag(const char*, bool& field) { One(field); }
    bool changed() const { return changed_; }

   private:
    template <class T>
    void One(T& field) {
      if (usual_->size() <= at_ && turn_ == SIZE_MAX) usual_->push_back(static_cast<double>(field));
      if (at_ == turn_ && static_cast<double>(field) != (*usual_)[at_]) {
        field = static_cast<T>((*usual_)[at_]);
        changed_ = true;
      }
      ++at_;
    }
    std::size_t turn_, at_ = 0;
    std::vector<double>* usual_;
    bool changed_ = false;
  };

  template <class Part, class Visit>
  void OrdinaryPart(Part part, Visit visit) {
    std::vector<double> usual;
    ScenarioSpec ordinary;
    Reset collect(SIZE_MAX, &usual);
    visit(collect, part(ordinary));
    for (std::size_t turn = 0; turn < usual.size() && !Spent(); ++turn) {
      ScenarioSpec d = best_;
      Reset reset(turn, &usual);
      visit(reset, part(d));
      if (reset.changed() && SizeOf(d) <= SizeOf(best_) * 1.05) Take(d);
    }
  }

  void Ordinary() {
    OrdinaryPart([](ScenarioSpec& d) -> ClientSpec& { return d.clients; },
                 [](auto& v, auto& x) { VisitClients(v, x); });
    OrdinaryPart([](ScenarioSpec& d) -> FleetSpec& { return d.fleet; },
                 [](auto& v, auto& x) { VisitFleet(v, x); });
    OrdinaryPart([](ScenarioSpec& d) -> KindSpec& { return d.fleet.kinds.front(); },
                 [](auto& v, auto& x) { VisitKind(v, x); });
    OrdinaryPart([](ScenarioSpec& d) -> ClassSpec& { return d.classes.front(); },
                 [](auto& v, auto& x) { VisitClass(v, x); });
  }

  ScenarioSpec best_;
  const std::function<bool(const ScenarioSpec&)>& wrong_;
  const ShrinkOptions& options_;
  std::size_t plays_ = 0;
};

}  // namespace

ShrinkResult Shrink(const ScenarioSpec& day, const std::function<bool(const ScenarioSpec&)>& wrong,
                    const ShrinkOptions& options) {
  return Shrinker(day, wrong, options).Run();
}

}  // namespace ryeglade::experiment
