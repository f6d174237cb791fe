// What an answer used, in tokens: the replica's own figures where they pass every check, else an estimate
// from the text seen. Figures that fail one check are not used in any part. No I/O, no clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ryeglade::ledger {

// What can be wrong with a usage object. Name gives the names in the ledger, the metrics and the pages.
enum class UsageFault : std::uint8_t {
  kAbsent,
  kNotANumber,  // a string, a bool, null, an object
  kNegative,
  kFractional,
  kHuge,         // over 100 million
  kTwice,        // a key, or the whole object, comes twice
  kIncomplete,   // prompt_tokens or completion_tokens is missing
  kTotal,        // total_tokens is not their sum
  kCached,       // more cached than the prompt has
  kOverLimit,    // more than max_tokens allowed
  kContradicts,  // fewer tokens than events that carried text
  kCount
};
inline constexpr std::size_t kUsageFaults = static_cast<std::size_t>(UsageFault::kCount);
const char* Name(UsageFault fault);

struct Usage {
  // Tokens; the cached ones are part of the prompt.
  double prompt = 0, cached = 0, output = 0;
};

// What the node observed itself of the request and its response.
struct ObservedResponse {
  std::size_t prompt_bytes = 0, output_bytes = 0;  // bytes of UTF-8
  std::size_t text_events = 0;                     // that carried a piece of the answer
  std::optional<double> max_tokens;
};

struct UsageResult {
  std::optional<Usage> usage;  // absent: `fault` says why
  UsageFault fault = UsageFault::kAbsent;
};

// `text` is a JSON object with a member `usage`, as the last event of a stream holds it; `times` is how many
// such objects came. Takes the time of one pass over the text.
UsageResult CheckUsage(std::string_view text, int times, const ObservedResponse& seen);

// Estimates tokens from bytes of text, by a ratio learned for each model from figures that passed. Bounded in
// models.
class TokenSizeEstimator {
 public:
  double BytesPerToken(const std::string& model) const;
  void Learn(const std::string& model, std::size_t chars, double tokens);
  Usage Estimate(const std::string& model, const ObservedResponse& seen) const;

 private:
  static constexpr std::size_t kMaxModels = 256;
  std::unordered_map<std::string, double> sizes_;
};

}  // namespace ryeglade::ledger
