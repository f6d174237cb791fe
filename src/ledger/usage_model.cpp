#include "ledger/usage_model.h"

#include <algorithm>
#include <cmath>

#include "openai/strict_json.h"

namespace ryeglade::ledger {
namespace {

using openai::JsonKind;
using openai::JsonValue;

constexpr double kMaxTokens = 1e8;           // larger counts are rejected as kHuge
constexpr double kDefaultBytesPerToken = 4;  // until a model has reported valid figures
constexpr double kMinBytesPerToken = 0.5;
constexpr double kMaxBytesPerToken = 16;
constexpr double kNewestWeight = 1.0 / 16;  // weight of the newest ratio in the moving average
// Most tokens of a shorter prompt come from the chat template rather than from the text.
constexpr std::size_t kMinPromptBytes = 64;

class UsageReader : public openai::JsonHandler {
 public:
  std::optional<double> prompt, output, total, cached;
  std::optional<UsageFault> fault;

  bool OnValue(const JsonValue& v) override {
    if (v.depth == 1) in_usage_ = v.key == "usage";
    if (!in_usage_) return true;
    if (v.depth == 1 && v.kind != JsonKind::kObject) return Fault(UsageFault::kNotANumber);
    if (v.depth == 2) parent_key_ = v.key;
    if (v.depth == 2 && v.key == "prompt_tokens") return Number(v, prompt);
    if (v.depth == 2 && v.key == "completion_tokens") return Number(v, output);
    if (v.depth == 2 && v.key == "total_tokens") return Number(v, total);
    if (v.depth == 3 && parent_key_ == "prompt_tokens_details" && v.key == "cached_tokens") {
      return v.kind == JsonKind::kNull || Number(v, cached);
    }
    return true;
  }

 private:
  bool Fault(UsageFault f) {
    fault = f;
    return false;
  }
  bool Number(const JsonValue& v, std::optional<double>& to) {
    if (v.kind != JsonKind::kInteger && v.kind != JsonKind::kNumber) return Fault(UsageFault::kNotANumber);
    if (v.number < 0) return Fault(UsageFault::kNegative);
    if (v.number > kMaxTokens) return Fault(UsageFault::kHuge);
    if (v.number != std::floor(v.number)) return Fault(UsageFault::kFractional);
    to = v.number;
    return true;
  }

  bool in_usage_ = false;   // the value is `usage` or lies within it
  std::string parent_key_;  // the last key at depth 2
};

}  // namespace

const char* Name(UsageFault fault) {
  static constexpr std::array<const char*, kUsageFaults> kNames = {
      "absent",     "not-a-number", "negative", "fractional", "huge",       "twice",
      "incomplete", "total",        "kept",     "over-limit", "contradicts"};
  return kNames.at(static_cast<std::size_t>(fault));
}

UsageResult CheckUsage(std::string_view text, int times, const ObservedResponse& observed) {
  if (times == 0) return {std::nullopt, UsageFault::kAbsent};
  if (times > 1) return {std::nullopt, UsageFault::kTwice};
  UsageReader reader;
  const std::string error = openai::ReadJson(text, reader);
  if (reader.fault) return {std::nullopt, *reader.fault};
  if (!error.empty()) {
    // ReadJson distinguishes a repeated key and a number out of range only by its error text.
    const bool twice = error.find("twice") != std::string::npos;
    const bool huge = error.find("too big") != std::string::npos;
    return {std::nullopt, twice ? UsageFault::kTwice : huge ? UsageFault::kHuge : UsageFault::kNotANumber};
  }
  const auto invalid = [](UsageFault fault) { return UsageResult{std::nullopt, fault}; };
  const double cached = reader.cached.value_or(0);
  if (!reader.prompt || !reader.output) return invalid(UsageFault::kIncomplete);
  if (reader.total && *reader.total != *reader.prompt + *reader.output) return invalid(UsageFault::kTotal);
  if (cached > *reader.prompt) return invalid(UsageFault::kCached);
  if (observed.max_tokens && *reader.output > *observed.max_tokens) return invalid(UsageFault::kOverLimit);
  if (*reader.output < static_cast<double>(observed.text_events)) return invalid(UsageFault::kContradicts);
  return {Usage{*reader.prompt, cached, *reader.output}, UsageFault::kAbsent};
}

double TokenSizeEstimator::BytesPerToken(const std::string& model) const {
  const auto it = bytes_per_token_.find(model);
  return it == bytes_per_token_.end() ? kDefaultBytesPerToken : it->second;
}

void TokenSizeEstimator::Learn(const std::string& model, std::size_t bytes, double tokens) {
  if (bytes < kMinPromptBytes || tokens < 1) return;
  const double ratio = std::clamp(static_cast<double>(bytes) / tokens, kMinBytesPerToken, kMaxBytesPerToken);
  const auto it = bytes_per_token_.find(model);
  if (it != bytes_per_token_.end()) {
    it->second += kNewestWeight * (ratio - it->second);
  } else if (bytes_per_token_.size() < kMaxModels) {
    bytes_per_token_.emplace(model, ratio);
  }
}

Usage TokenSizeEstimator::Estimate(const std::string& model, const ObservedResponse& observed) const {
  const double ratio = BytesPerToken(model);
  Usage usage;
  usage.prompt = std::ceil(static_cast<double>(observed.prompt_bytes) / ratio);
  usage.output = std::max(std::ceil(static_cast<double>(observed.output_bytes) / ratio),
                          static_cast<double>(observed.text_events));
  if (observed.max_tokens) usage.output = std::min(usage.output, *observed.max_tokens);
  return usage;
}

}  // namespace ryeglade::ledger
