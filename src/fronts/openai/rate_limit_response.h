// How the OpenAI-style API tells a client about its rate limits: the x-ratelimit headers and the 429 errors.
#pragma once

#include <string>

#include "fronts/openai/api_error.h"
#include "limits/limits_policy.h"

namespace ryeglade {

// Header lines, each with its line end; empty where the key has no limit.
std::string RateLimitHeaders(const limits::RemainingQuota& quota);
// `result` must not be kAdmitted.
ApiError RateLimitError(const limits::AdmissionResult& result);

}  // namespace ryeglade
