#include "core/enum_names.h"

#include <array>
#include <cstddef>

namespace ryeglade {
namespace {

constexpr std::array<const char*, 8> kOutcomeNames = {"served",         "error", "full",      "timeout",
                                                      "connect-failed", "reset", "cancelled", "not-sent"};
constexpr std::array<const char*, static_cast<std::size_t>(StreamEnd::kCount)> kStreamEndNames = {
    "complete", "open", "no-event", "without-done", "data-after-done"};
constexpr std::array<const char*, static_cast<std::size_t>(policy::ConclusionReason::kCount)> kReasonNames = {
    "no-patience",  "held-too-long", "no-time-left", "attempts-spent",
    "may-have-run", "retries-spent", "stream-broken"};

template <std::size_t N>
const char* NameAt(const std::array<const char*, N>& names, std::size_t index) {
  return index < N ? names[index] : "?";
}

}  // namespace

const char* Name(policy::Outcome outcome) { return NameAt(kOutcomeNames, static_cast<std::size_t>(outcome)); }
const char* Name(policy::ConclusionReason reason) {
  return NameAt(kReasonNames, static_cast<std::size_t>(reason));
}
const char* Name(StreamEnd end) { return NameAt(kStreamEndNames, static_cast<std::size_t>(end)); }

}  // namespace ryeglade
