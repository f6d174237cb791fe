// Reduces a plan that breaks a rule to one with fewer faults that still breaks it, by delta debugging (Zeller
// and Hildebrandt, IEEE TSE 2002). Runs of real processes differ from each other, so a set of faults counts
// as harmless only after two plays without the violation.
#pragma once

#include <cstddef>

#include "lab/soak/run.h"

namespace ryeglade::soak {

struct ShrinkResult {
  Plan plan;                  // with the faults that are left
  Rule rule = Rule::kAnswer;  // the first rule that the original plan broke
  std::size_t plays = 0;      // number of plays that were needed
};

// Makes at most `max_plays` plays, but always the first two if they are needed to find a violation. Throws
// std::runtime_error if the plan breaks no rule in two plays.
ShrinkResult Shrink(const Plan& plan, const PlayOptions& options, std::size_t max_plays);

}  // namespace ryeglade::soak
