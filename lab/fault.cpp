#include "lab/fault.h"

#include <array>

namespace ryeglade::lab {
namespace {

constexpr std::array<const char*, static_cast<std::size_t>(Fault::kCount)> kWords = {"none",
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

const char* Name(Fault fault) { return kWords.at(static_cast<std::size_t>(fault)); }

std::optional<Fault> ParseFault(std::string_view word) {
  for (std::size_t i = 0; i < kWords.size(); ++i) {
    if (word == kWords.at(i)) return static_cast<Fault>(i);
  }
  return std::nullopt;
}

std::vector<std::string> FaultNames() { return {kWords.begin(), kWords.end()}; }

Fault FaultInPrompt(std::string_view body) {
  const std::size_t at = body.rfind(kFaultMark);
  if (at == std::string_view::npos) return Fault::kNone;
  std::string_view word = body.substr(at + kFaultMark.size());
  word = word.substr(0, word.find_first_not_of("abcdefghijklmnopqrstuvwxyz-"));
  return ParseFault(word).value_or(Fault::kNone);
}

}  // namespace ryeglade::lab
