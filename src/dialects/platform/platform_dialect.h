// The platform's protocol as its model replicas speak it.
#pragma once

#include "core/dialect.h"

namespace ryeglade {

// Stateless but for what a health check asks for.
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
  bool load_reports_;  // a health check asks for the load, else only for a sign of life
};

}  // namespace ryeglade
