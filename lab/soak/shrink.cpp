#include "lab/soak/shrink.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr int kPlaysPerSet = 2;  // plays without the violation after which a set of faults counts as harmless

class Shrinker {
 public:
  Shrinker(Plan plan, const PlayOptions& options, std::size_t max_plays)
      : options_(options), max_plays_(max_plays), best_{std::move(plan), Rule::kAnswer, 0} {}

  ShrinkResult Run() {
    for (int n = 0; n < kPlaysPerSet && !found_; ++n) {
      ++best_.plays;
      const Verdict v = CheckHistory(Play(best_.plan, options_).history);
      if (!v.violations.empty()) {
        best_.rule = v.violations.front().rule;
        found_ = true;
      }
    }
    if (!found_)
      throw std::runtime_error("soak: the plan broke no rule in two plays, so there is nothing to shrink");
    for (std::size_t parts = 2; best_.plan.faults.size() > 1 && best_.plays < max_plays_;) {
      if (DropOnePart(parts)) {
        parts = std::max<std::size_t>(2, parts - 1);
      } else if (parts >= best_.plan.faults.size()) {
        break;
      } else {
        parts = std::min(best_.plan.faults.size(), parts * 2);
      }
    }
    return std::move(best_);
  }

 private:
  // Splits the faults into `parts` parts and removes the first part without which the rule is still broken.
  // Returns false if there is none.
  bool DropOnePart(std::size_t parts) {
    const std::size_t all = best_.plan.faults.size();
    for (std::size_t part = 0; part < parts && best_.plays < max_plays_; ++part) {
      Plan fewer = best_.plan;
      const auto from = static_cast<std::ptrdiff_t>(all * part / parts);
      const auto to = static_cast<std::ptrdiff_t>(all * (part + 1) / parts);
      fewer.faults.erase(fewer.faults.begin() + from, fewer.faults.begin() + to);
      if (!StillBreaks(fewer)) continue;
      best_.plan = std::move(fewer);
      return true;
    }
    return false;
  }

  // True if one of the plays breaks the rule.
  bool StillBreaks(const Plan& plan) {
    for (int n = 0; n < kPlaysPerSet && best_.plays < max_plays_; ++n) {
      ++best_.plays;
      if (CheckHistory(Play(plan, options_).history).Count(best_.rule) > 0) return true;
    }
    return false;
  }

  const PlayOptions& options_;
  std::size_t max_plays_;
  ShrinkResult best_;
  bool found_ = false;
};

}  // namespace

ShrinkResult Shrink(const Plan& plan, const PlayOptions& options, std::size_t max_plays) {
  return Shrinker(plan, options, max_plays).Run();
}

}  // namespace ryeglade::soak
