#include "core/enum_names.h"

#include <array>
#include <cstddef>

namespace ryeglade {
namespace {

constexpr std::array<const char*, 8> kOutcomes = {"served",         "error", "full",      "timeout",
                                                  "connect-failed", "reset", "cancelled", "not-sent"};
constexpr std::array<const char*, static_cast<std::size_t>(policy::ConclusionReason::kCount)> kReasons = {
    "no-patience",  "held-too-long", "no-time-left", "attempts-spent",
    "may-have-run", "retries-spent", "stream-broken"};

// A value that a record of a later version may hold is no word here.
template <std::size_t N>
const char* At(const std::array<const char*, N>& words, std::size_t n) {
  return n < N ? words[n] : "?";
}

}  // namespace

const char* Name(policy::Outcome outcome) { return At(kOutcomes, static_cast<std::size_t>(outcome)); }
const char* Name(policy::ConclusionReason why) { return At(kReasons, static_cast<std::size_t>(why)); }

}  // namespace ryeglade
