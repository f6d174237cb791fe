// The parts of an OpenAI-style response that concern rate limits: the x-ratelimit headers and the 429 errors.
#pragma once

#include <string>

#include "fronts/openai/api_error.h"
#include "limits/limits_policy.h"

namespace ryeglade {

// Returns header lines, each ended by CRLF, for the limits that the key has; empty if it has none.
std::string RateLimitHeaders(const limits::RemainingQuota& quota);
// `result` must not be kAdmitted: it is the reason why the request is rejected.
ApiError RateLimitError(const limits::AdmissionResult& result);

}  // namespace ryeglade
