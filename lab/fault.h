// Faults that a fake replica can inject, for one request (named in its prompt) or for all.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace ryeglade::lab {

enum class Fault : std::uint8_t {
  kNone,
  kResetBefore,  // resets the connection before the first event
  kResetOnce,    // kResetBefore, but only at the first attempt; kBusyOnce and kErrorOnce likewise
  kBreak,        // resets the connection in the middle of the response
  kStall,        // sends half of the response and then nothing more
  kSilent,       // never responds
  kBusy,         // rejects the request as at capacity
  kBusyOnce,
  kError,  // 500
  kErrorOnce,
  kBadRequest,  // 400
  kNoUsage,     // no usage event, though the request asks for it
  kNoDone,      // ends without [DONE]
  kCutShort,    // ends with the last chunk, at any byte before the end of [DONE]
  kSlowWrite,   // writes each event in pieces, with pauses
  kErrorEvent,  // an error event in the middle of the response
  kErrorFirst,  // an error event as the first event
  // The usage event is invalid in the way that the name says.
  kUsageNegative,
  kUsageFractional,
  kUsageHuge,
  kUsageString,
  kUsageTwice,        // completion_tokens occurs twice
  kUsageTotal,        // the total is not the sum
  kUsageOverLimit,    // more completion tokens than max_tokens
  kUsageContradicts,  // no completion tokens, though text was sent
  kCount
};

const char* Name(Fault fault);
std::optional<Fault> ParseFault(std::string_view name);  // nullopt: unknown
std::vector<std::string> FaultNames();

// A prompt names the fault as "#fault=NAME".
inline constexpr std::string_view kFaultMark = "#fault=";
// Returns the last fault that the request body names, or kNone.
Fault FaultInPrompt(std::string_view body);

}  // namespace ryeglade::lab
