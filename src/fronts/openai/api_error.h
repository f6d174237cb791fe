// Errors in the format of the API. Their codes are also the reasons in logs and metrics.
#pragma once

#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

// One error response.
struct ApiError {
  int status = 500;
  std::string type;              // "invalid_request_error", "rate_limit_error", "server_error", ...
  std::string code;              // the reason, for programs; null in JSON if empty
  std::string message;           // the reason, for people
  std::string param;             // the request's invalid field; null in JSON if empty
  policy::Time retry_after = 0;  // microseconds; 0 if the response names no time
};

// Returns the body of the error response.
std::string ErrorJson(const ApiError& error);
// Returns the error as it is sent to a client that must not retry because its request may have run: statuses
// that invite a retry (429 and 503) become 502, and no time for a retry is named.
ApiError WithoutRetry(ApiError error);
// Official clients retry by themselves after any 5xx unless the response has this header.
inline constexpr const char* kNoRetryHeader = "x-should-retry: false\r\n";
// Returns the header lines `Retry-After`, in whole seconds rounded up, and `retry-after-ms`; empty if
// `retry_after` is 0.
std::string RetryHeaders(policy::Time retry_after);
// Returns the error for an HTTP-level failure with this status, such as a request that can't be parsed.
ApiError ErrorForStatus(int status);

}  // namespace ryeglade
