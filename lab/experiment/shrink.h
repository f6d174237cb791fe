// From a day that goes wrong to a smaller one that still does. Pure: what "still goes wrong" means is the
// caller's, and each question to it is one day played.
#pragma once

#include <cstddef>
#include <functional>
#include <string>

#include "lab/emulator/simulation.h"

namespace ryeglade::experiment {

struct ShrinkOptions {
  std::size_t max_runs = 400;
  // Called after each play: how many there were, and what a play of the best day so far costs (its size).
  std::function<void(std::size_t plays, double size)> progress;
};

struct ShrinkResult {
  emulator::ScenarioSpec day;
  std::size_t plays = 0;
  double size_before = 0, size = 0;  // requests and replica-seconds of the day, roughly
  bool done = false;                 // false: most_plays came first
};

// First faults go, by delta debugging (Zeller and Hildebrandt, IEEE TSE 2002), then classes and kinds; then
// the day's length, its fleet, its clients and its faults' times and counts become as small as they can, each
// by bisection; then what is left takes its ordinary value where it may. Over again until nothing gives.
// Throws std::runtime_error if the day given does not go wrong.
ShrinkResult Shrink(const emulator::ScenarioSpec& day,
                    const std::function<bool(const emulator::ScenarioSpec&)>& wrong,
                    const ShrinkOptions& options = {});

}  // namespace ryeglade::experiment
