#include "lab/fault.h"

#include <array>

namespace ryeglade::lab {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Fault::kCount)> kNames = {"none",
                                                                                     "reset-before",
                                                                                     "reset-once",
                                                                                     "break",
                                                                                     "stall",
                                                                                     "silent",
                                                                                     "busy",
                                                                                     "busy-once",
                                                                                     "error",
                                                                                     "error-once",
                                                                                     "bad-request",
                                                                                     "no-usage",
                                                                                     "no-done",
                                                                                     "cut-short",
                                                                                     "slow-write",
                                                                                     "error-event",
                                                                                     "error-first",
                                                                                     "usage-negative",
                                                                                     "usage-fractional",
                                                                                     "usage-huge",
                                                                                     "usage-string",
                                                                                     "usage-twice",
                                                                                     "usage-total",
                                                                                     "usage-over-limit",
                                                                                     "usage-contradicts"};

}  // namespace

const char* Name(Fault fault) { return kNames.at(static_cast<std::size_t>(fault)); }

std::optional<Fault> ParseFault(std::string_view name) {
  for (std::size_t i = 0; i < kNames.size(); ++i) {
    if (name == kNames.at(i)) return static_cast<Fault>(i);
  }
  return std::nullopt;
}

std::vector<std::string> FaultNames() { return {kNames.begin(), kNames.end()}; }

Fault FaultInPrompt(std::string_view body) {
  const std::size_t at = body.rfind(kFaultMark);
  if (at == std::string_view::npos) return Fault::kNone;
  std::string_view name = body.substr(at + kFaultMark.size());
  name = name.substr(0, name.find_first_not_of("abcdefghijklmnopqrstuvwxyz-"));
  return ParseFault(name).value_or(Fault::kNone);
}

}  // namespace ryeglade::lab
