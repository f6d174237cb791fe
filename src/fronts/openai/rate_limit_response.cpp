#include "fronts/openai/rate_limit_response.h"

#include <fmt/format.h>

#include <algorithm>

namespace ryeglade {
namespace {

constexpr limits::Time kMinRetryAfterOverStreams = 1'000'000;  // microseconds

std::string Seconds(limits::Time time) { return fmt::format("{:.3f}s", static_cast<double>(time) / 1e6); }

}  // namespace

std::string RateLimitHeaders(const limits::RemainingQuota& quota) {
  std::string out;
  if (quota.request_limit > 0) {
    out += fmt::format(
        "x-ratelimit-limit-requests: {:.0f}\r\nx-ratelimit-remaining-requests: {:.0f}\r\n"
        "x-ratelimit-reset-requests: {}\r\n",
        quota.request_limit, quota.requests, Seconds(quota.requests_reset_after));
  }
  if (quota.token_limit > 0) {
    out += fmt::format(
        "x-ratelimit-limit-tokens: {:.0f}\r\nx-ratelimit-remaining-tokens: {:.0f}\r\n"
        "x-ratelimit-reset-tokens: {}\r\n",
        quota.token_limit, quota.tokens, Seconds(quota.tokens_reset_after));
  }
  return out;
}

ApiError RateLimitError(const limits::AdmissionResult& result) {
  ApiError error{429, "rate_limit_error", "rate_limit_exceeded", "", "", result.retry_after};
  switch (result.admission) {
    case limits::Admission::kOverRequests:
      error.message = "Your key has used its requests for this minute.";
      break;
    case limits::Admission::kOverTokens:
      error.message = "Your key has used its tokens for this minute.";
      break;
    case limits::Admission::kOverStreams:
      error.message = "Your key has as many requests open as it may.";
      error.retry_after = std::max(error.retry_after, kMinRetryAfterOverStreams);
      break;
    case limits::Admission::kAdmitted:
    case limits::Admission::kRequestTooLarge:
      error.code = "request_over_limit";
      error.message =
          "This request asks for more tokens than your key has in a whole minute; make it smaller.";
      error.retry_after = 0;
  }
  return error;
}

}  // namespace ryeglade
