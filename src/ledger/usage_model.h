// Token usage of a response: the replica's own figures if they pass every check, otherwise an estimate from
// the observed text. If one check fails, none of the replica's figures is used. Performs no I/O and reads no
// clock.
#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

namespace ryeglade::ledger {

// Why a usage object is not valid. Name returns the names in the ledger, the metrics and the documentation.
enum class UsageFault : std::uint8_t {
  kAbsent,
  kNotANumber,  // a string, a boolean, null or an object
  kNegative,
  kFractional,
  kHuge,         // over 100 million tokens, or beyond the range of a double
  kTwice,        // a key, or the whole object, occurs twice
  kIncomplete,   // prompt_tokens or completion_tokens is missing
  kTotal,        // total_tokens is not the sum of prompt_tokens and completion_tokens
  kCached,       // more cached tokens than prompt tokens
  kOverLimit,    // more completion tokens than max_tokens allows
  kContradicts,  // fewer completion tokens than events that carried text
  kCount
};
inline constexpr std::size_t kUsageFaults = static_cast<std::size_t>(UsageFault::kCount);
const char* Name(UsageFault fault);

// In tokens. The cached tokens are part of the prompt.
struct Usage {
  double prompt = 0, cached = 0, output = 0;
};

// What the node itself observed of a request and its response.
struct ObservedResponse {
  std::size_t prompt_bytes = 0, output_bytes = 0;  // text in UTF-8
  std::size_t text_events = 0;                     // events that carried a piece of the response's text
  std::optional<double> max_tokens;                // absent if the request set no limit
};

// The result of CheckUsage.
struct UsageResult {
  std::optional<Usage> usage;  // absent if the figures are not valid; `fault` then tells why
  UsageFault fault = UsageFault::kAbsent;
};

// `text` is a JSON object with a member `usage`, as in the last event of a stream; `times` is the number of
// such objects received. Reads the text in one pass.
UsageResult CheckUsage(std::string_view text, int times, const ObservedResponse& observed);

// Estimates tokens from the size of a text, by a ratio learned for each model from valid usage figures. The
// number of models is bounded; models beyond the bound use the default ratio.
class TokenSizeEstimator {
 public:
  double BytesPerToken(const std::string& model) const;  // the learned ratio, or the default ratio
  // Updates the ratio of the model from a prompt of `bytes` bytes and `tokens` tokens. Short prompts are
  // ignored.
  void Learn(const std::string& model, std::size_t bytes, double tokens);
  // Estimates the usage of a response: at least one output token for each event that carried text, and at
  // most max_tokens.
  Usage Estimate(const std::string& model, const ObservedResponse& observed) const;

 private:
  static constexpr std::size_t kMaxModels = 256;
  std::unordered_map<std::string, double> bytes_per_token_;  // by model
};

}  // namespace ryeglade::ledger
