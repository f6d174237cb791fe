#include "policy/tenant_quotas.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(TenantQuotas, TellsATenantClearlyBeyondItsShareOfTheQuota) {
  Settings settings;
  settings.over_quota_weight = 0.5;
  settings.tenants.resize(1);
  settings.tenants[0].quota_per_second = 20;
  const TrafficShare two_nodes(2);
  TenantQuotas quotas(settings, two_nodes);
  quotas.ResizeTables();
  // 10 a second are this node's: 200 in the memory of 20 s, and 279 are within chance.
  int within = 0;
  while (!quotas.CountArrival(0, 1'000'000)) ++within;
  EXPECT_EQ(within, 279);
  EXPECT_FALSE(quotas.CountArrival(-1, 1'000'000));
  EXPECT_FALSE(quotas.CountArrival(1, 1'000'000));
  settings.over_quota_weight = 1;  // quotas mean nothing
  EXPECT_FALSE(quotas.CountArrival(0, 1'000'000));
}

}  // namespace
}  // namespace ryeglade::policy
