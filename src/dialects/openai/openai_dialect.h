// The OpenAI-style API of model servers such as vLLM. 429, and 503 with a Retry-After, mean that the request
// was rejected before it ran; 400, 404, 413 and 422 that the request is invalid; with any other error status
// the attempt failed and may have run. An event that contains an error makes the stream invalid. Comments
// keep it alive but are not progress.
#pragma once

#include <string>

#include "core/dialect.h"

namespace ryeglade {

// Has no state except its API key.
class OpenAiDialect : public Dialect {
 public:
  // `api_key` is sent to replicas as a bearer token; if it is empty, none is sent.
  explicit OpenAiDialect(std::string api_key = "") : api_key_(std::move(api_key)) {}
  const char* name() const override { return "openai"; }
  bool SendsHeadWithFirstEvent() const override { return false; }
  // Changes the body so that it asks for a stream and for usage, unless the front has already done so.
  void Prepare(StreamRequest& request) const override;
  std::string RequestHead(const StreamRequest& request, const std::string& host,
                          policy::Time time_left) const override;
  std::string HealthCheckHead(const std::string& host) const override;
  std::unique_ptr<ResponseReader> NewReader() const override;

 private:
  std::string api_key_;
};

// Converts a Retry-After value, in whole or decimal seconds, to microseconds; at most an hour. Returns 0 if
// it is not a positive number.
policy::Time ReadRetryAfter(const std::string& seconds);

}  // namespace ryeglade
