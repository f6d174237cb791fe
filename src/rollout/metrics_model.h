// What a node counts of its own service, class by class, since its process started: what cohorts are held
// against each other by. One JSON object; a reader passes over fields it does not know. Pure: no I/O, no
// clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace ryeglade::rollout {

struct ClassFigures {
  double worth = 1;  // of one request
  std::uint64_t served = 0, in_time = 0, refused = 0, failed = 0;
  double attempts = 0, attempts_squared = 0;  // sums over all that ended
  std::uint64_t started = 0;
  double first_ln = 0, first_ln_squared = 0;  // sums of ln(first token in ms)
  std::uint64_t ended() const { return served + refused + failed; }
};

struct Figures {
  std::int64_t pid = 0;
  std::int64_t at = 0;                        // microseconds, Unix time, when it was counted
  std::uint64_t memory = 0, most_memory = 0;  // bytes resident; the limit
  std::uint64_t descriptors = 0, most_descriptors = 0;
  std::map<std::string, ClassFigures> classes;
};

std::string EncodeFigures(const Figures& figures);
// Null: not ours, or a number is negative or not finite.
std::optional<Figures> DecodeFigures(const std::string& text);

}  // namespace ryeglade::rollout
