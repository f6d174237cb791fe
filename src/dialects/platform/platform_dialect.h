// The protocol of the platform's model replicas. A 503 or 504 with `X-Rejected: 1` means that the request was
// rejected before it ran; with any other error status the attempt failed and may have run.
#pragma once

#include "core/dialect.h"

namespace ryeglade {

// Has no state except the kind of health check.
class PlatformDialect : public Dialect {
 public:
  explicit PlatformDialect(bool load_reports) : load_reports_(load_reports) {}
  const char* name() const override { return "platform"; }
  bool SendsHeadWithFirstEvent() const override { return true; }
  void Prepare(StreamRequest&) const override {}
  std::string RequestHead(const StreamRequest& request, const std::string& host,
                          policy::Time time_left) const override;
  std::string HealthCheckHead(const std::string& host) const override;
  std::unique_ptr<ResponseReader> NewReader() const override;

 private:
  bool load_reports_;  // whether a health check asks for a load report or only whether the replica is alive
};

}  // namespace ryeglade
