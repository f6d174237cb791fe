#include "lab/soak/shrink.h"

#include <algorithm>
#include <optional>
#include <stdexcept>
#include <utility>

namespace ryeglade::soak {
namespace {

constexpr int kTries = 2;  // of one set of faults

class Shrinker {
 public:
  Shrinker(Plan plan, const PlayOptions& options, std::size_t most)
      : options_(options), most_(most), best_{std::move(plan), Rule::kAnswer, 0} {}

  Shrunk Run() {
    for (int n = 0; n < kTries && !found_; ++n) {
      ++best_.plays;
      const Verdict v = Judge(Play(best_.plan, options_).history);
      if (!v.breaches.empty()) {
        best_.rule = v.breaches.front().rule;
        found_ = true;
      }
    }
    if (!found_) throw std::runtime_error("soak: the plan broke no rule in two plays");
    for (std::size_t parts = 2; best_.plan.faults.size() > 1 && best_.plays < most_;) {
      if (DropOne(parts)) {
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
  // Leaves out one of so many parts of the faults, if the rule is still broken without it.
  bool DropOne(std::size_t parts) {
    const std::size_t all = best_.plan.faults.size();
    for (std::size_t part = 0; part < parts && best_.plays < most_; ++part) {
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

  bool StillBreaks(const Plan& plan) {
    for (int n = 0; n < kTries && best_.plays < most_; ++n) {
      ++best_.plays;
      if (Judge(Play(plan, options_).history).Count(best_.rule) > 0) return true;
    }
    return false;
  }

  const PlayOptions& options_;
  std::size_t most_;
  Shrunk best_;
  bool found_ = false;
};

}  // namespace

Shrunk Shrink(const Plan& plan, const PlayOptions& options, std::size_t most_plays) {
  return Shrinker(plan, options, most_plays).Run();
}

}  // namespace ryeglade::soak
