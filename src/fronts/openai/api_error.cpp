#include "fronts/openai/api_error.h"

#include <fmt/format.h>

#include "openai/strict_json.h"

namespace ryeglade {

std::string ErrorJson(const ApiError& error) {
  const auto text = [](const std::string& s) {
    return s.empty() ? std::string("null") : openai::QuoteJson(s);
  };
  return fmt::format("{{\"error\":{{\"message\":{},\"type\":{},\"param\":{},\"code\":{}}}}}",
                     openai::QuoteJson(error.message), openai::QuoteJson(error.type), text(error.param),
                     text(error.code));
}

std::string RetryHeaders(policy::Time after) {
  if (after <= 0) return "";
  return fmt::format("Retry-After: {}\r\nretry-after-ms: {}\r\n", (after + 999'999) / 1'000'000,
                     (after + 999) / 1000);
}

ApiError WithoutRetry(ApiError error) {
  if (error.status == 429 || error.status == 503) error.status = 502;
  error.retry_after = 0;
  return error;
}

ApiError ErrorForStatus(int status) {
  switch (status) {
    case 405:
      return {405, "invalid_request_error", "method_not_allowed", "This method is not allowed here.", "", 0};
    case 408:
      return {
          408, "invalid_request_error", "request_timeout", "The request did not arrive whole in time.", "",
          0};
    case 413:
      return {413, "invalid_request_error", "request_too_large", "The request's body is too large.", "", 0};
    case 431:
      return {431, "invalid_request_error", "headers_too_large", "The request's headers are too large.", "",
              0};
    case 503:
      return {503, "server_error", "overloaded", "The server is at a limit; try again later.", "", 1'000'000};
    default:
      return {
          status, "invalid_request_error", "unreadable_request", "The request could not be read as HTTP.", "",
          0};
  }
}

}  // namespace ryeglade
