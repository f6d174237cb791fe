#include "policy/tenant_quotas.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(TenantQuotas, DetectsATenantClearlyBeyondThisNodesShareOfItsQuota) {
  Settings settings;
  settings.over_quota_weight = 0.5;
  settings.tenants.resize(1);
  settings.tenants[0].quota_per_second = 20;
  const TrafficShare two_nodes(2);
  TenantQuotas quotas(settings, two_nodes);
  quotas.ResizeTables();
  // This node's share is 10 requests per second, which are 200 in the decay time of 20 s. The tolerance
  // of 1.25, two standard deviations and one request allow 279.
  int within = 0;
  while (!quotas.CountArrival(0, 1'000'000)) ++within;
  EXPECT_EQ(within, 279);
  EXPECT_FALSE(quotas.CountArrival(-1, 1'000'000));
  EXPECT_FALSE(quotas.CountArrival(1, 1'000'000));
  settings.over_quota_weight = 1;  // quotas are ignored
  EXPECT_FALSE(quotas.CountArrival(0, 1'000'000));
}

}  // namespace
}  // namespace ryeglade::policy
