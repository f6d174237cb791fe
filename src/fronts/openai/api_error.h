// Errors in the API's own shape, and the reason words that logs, metrics and pages use for them.
#pragma once

#include <string>

#include "ryeglade/router.h"

namespace ryeglade {

struct ApiError {
  int status = 500;
  std::string type;              // "invalid_request_error", "rate_limit_error", "server_error", ...
  std::string code;              // the reason word; empty: null
  std::string message;           // for people
  std::string param;             // the field to blame; empty: null
  policy::Time retry_after = 0;  // 0: not told
};

std::string ErrorJson(const ApiError& error);
// The same error for a client that must not be told to ask again, as its request may have run: no refusal by
// status, and no time after which to come back.
ApiError WithoutRetry(ApiError error);
// Official clients ask again by themselves after any 5xx unless this is there.
inline constexpr const char* kNoRetryHeader = "x-should-retry: false\r\n";
// `Retry-After` in whole seconds, rounded up, and `retry-after-ms`; empty if none is told.
std::string RetryHeaders(policy::Time retry_after);
ApiError ErrorForStatus(int status);  // for what HTTP itself found wrong

}  // namespace ryeglade
