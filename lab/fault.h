// What a stand-in replica can be told to do wrong, for one request (by a mark in its prompt) or for all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade::lab {

enum class Fault : std::uint8_t {
  kNone,
  kResetBefore,  // closes before the first event, always
  kResetOnce,    // the same, but only the first replica that gets the request
  kBreak,        // closes in the middle of the answer
  kStall,        // says nothing more from the middle on
  kSilent,       // never says anything
  kBusy,         // turns away
  kBusyOnce,
  kError,  // 500
  kErrorOnce,
  kBadRequest,  // 400
  kNoUsage,
  kNoDone,      // the last chunk without [DONE]
  kErrorEvent,  // an error event in the middle
  kErrorFirst,  // an error event first
  kUsageNegative,
  kUsageFractional,
  kUsageHuge,
  kUsageString,
  kUsageTwice,
  kUsageTotal,
  kUsageOverLimit,
  kUsageContradicts,
  kCount
};

const char* Name(Fault fault);
std::optional<Fault> ParseFault(std::string_view word);
std::vector<std::string> FaultNames();

// The mark that a prompt holds: "#fault=WORD".
inline constexpr std::string_view kFaultMark = "#fault=";
Fault FaultInPrompt(std::string_view body);

}  // namespace ryeglade::lab
