#include "ledger/usage_model.h"

#include <algorithm>
#include <cmath>

#include "openai/strict_json.h"

namespace ryeglade::ledger {
namespace {

using openai::JsonKind;
using openai::JsonValue;

constexpr double kMaxTokens = 1e8;
constexpr double kDefaultBytesPerToken = 4;  // before anything is known
constexpr double kMinBytesPerToken = 0.5;
constexpr double kMaxBytesPerToken = 16;
constexpr double kNewestWeight = 1.0 / 16;  // of the newest figure
// Shorter prompts say more of the chat template than of their text.
constexpr std::size_t kMinPromptBytes = 64;

class UsageReader : public openai::JsonHandler {
 public:
  std::optional<double> prompt, output, total, cached;
  std::optional<UsageFault> fault;

  bool OnValue(const JsonValue& v) override {
    if (v.depth == 1) top_ = v.key == "usage";
    if (!top_) return true;
    if (v.depth == 1 && v.kind != JsonKind::kObject) return Fault(UsageFault::kNotANumber);
    if (v.depth == 2) group_ = v.key;
    if (v.depth == 2 && v.key == "prompt_tokens") return Number(v, prompt);
    if (v.depth == 2 && v.key == "completion_tokens") return Number(v, output);
    if (v.depth == 2 && v.key == "total_tokens") return Number(v, total);
    if (v.depth == 3 && group_ == "prompt_tokens_details" && v.key == "cached_tokens") {
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

  bool top_ = false;
  std::string group_;
};

}  // namespace

const char* Name(UsageFault fault) {
  static constexpr std::array<const char*, kUsageFaults> kNames = {
      "absent",     "not-a-number", "negative", "fractional", "huge",       "twice",
      "incomplete", "total",        "kept",     "over-limit", "contradicts"};
  return kNames.at(static_cast<std::size_t>(fault));
}

UsageResult CheckUsage(std::string_view text, int times, const ObservedResponse& seen) {
  if (times == 0) return {std::nullopt, UsageFault::kAbsent};
  if (times > 1) return {std::nullopt, UsageFault::kTwice};
  UsageReader r;
  const std::string wrong = openai::ReadJson(text, r);
  if (r.fault) return {std::nullopt, *r.fault};
  if (!wrong.empty()) {
    const bool twice = wrong.find("twice") != std::string::npos;
    const bool huge = wrong.find("too big") != std::string::npos;
    return {std::nullopt, twice ? UsageFault::kTwice : huge ? UsageFault::kHuge : UsageFault::kNotANumber};
  }
  const auto no = [](UsageFault f) { return UsageResult{std::nullopt, f}; };
  if (!r.prompt || !r.output) return no(UsageFault::kIncomplete);
  if (r.total && *r.total != *r.prompt + *r.output) return no(UsageFault::kTotal);
  if (r.cached.value_or(0) > *r.prompt) return no(UsageFault::kCached);
  if (seen.max_tokens && *r.output > *seen.max_tokens) return no(UsageFault::kOverLimit);
  if (*r.output < static_cast<double>(seen.text_events)) return no(UsageFault::kContradicts);
  return {Usage{*r.prompt, r.cached.value_or(0), *r.output}, UsageFault::kAbsent};
}

double TokenSizeEstimator::BytesPerToken(const std::string& model) const {
  const auto it = sizes_.find(model);
  return it == sizes_.end() ? kDefaultBytesPerToken : it->second;
}

void TokenSizeEstimator::Learn(const std::string& model, std::size_t chars, double tokens) {
  if (chars < kMinPromptBytes || tokens < 1) return;
  const double size = std::clamp(static_cast<double>(chars) / tokens, kMinBytesPerToken, kMaxBytesPerToken);
  const auto it = sizes_.find(model);
  if (it != sizes_.end()) {
    it->second += kNewestWeight * (size - it->second);
  } else if (sizes_.size() < kMaxModels) {
    sizes_.emplace(model, size);
  }
}

Usage TokenSizeEstimator::Estimate(const std::string& model, const ObservedResponse& seen) const {
  const double size = BytesPerToken(model);
  Usage usage;
  usage.prompt = std::ceil(static_cast<double>(seen.prompt_bytes) / size);
  usage.output = std::max(std::ceil(static_cast<double>(seen.output_bytes) / size),
                          static_cast<double>(seen.text_events));
  if (seen.max_tokens) usage.output = std::min(usage.output, *seen.max_tokens);
  return usage;
}

}  // namespace ryeglade::ledger
