// The OpenAI-style API as replicas (vLLM and its like) speak it. 429 and 503 reject a request before it runs;
// 400, 404 and 422 are the client's fault; other statuses failed and may have run. A stream is complete only
// with both `[DONE]` and its last chunk; an event that holds an error breaks it; comments keep it alive and
// are no progress.
#pragma once

#include <string>

#include "core/dialect.h"

namespace ryeglade {

// Stateless but for its key.
class OpenAiDialect : public Dialect {
 public:
  // `api_key`: sent to replicas as a bearer token; empty: none.
  explicit OpenAiDialect(std::string api_key = "") : api_key_(std::move(api_key)) {}
  const char* name() const override { return "openai"; }
  bool SendsHeadWithFirstEvent() const override { return false; }
  // Sees to it that the body asks for a stream and for usage, where a front did not.
  void Prepare(StreamRequest& request) const override;
  std::string RequestHead(const StreamRequest& request, const std::string& host,
                          policy::Time time_left) const override;
  std::string HealthCheckHead(const std::string& host) const override;
  std::unique_ptr<ResponseReader> NewReader() const override;

 private:
  std::string api_key_;
};

// Seconds, whole or decimal, as in Retry-After; 0: not a number, or none. At most an hour. In microseconds.
policy::Time ReadRetryAfter(const std::string& seconds);

}  // namespace ryeglade
