#include "policy/request_queue.h"

#include <gtest/gtest.h>

#include <vector>

#include "policy/tenant_quotas.h"

namespace ryeglade::policy {
namespace {

Request WithId(RequestId id) {
  Request request;
  request.arrival.id = id;
  return request;
}

std::vector<RequestId> Order(const RequestQueue& queue) {
  std::vector<RequestId> ids;
  for (const QueuePosition& position : queue) ids.push_back(position.id);
  return ids;
}

TEST(RequestQueue, OrdersByTierThenKeyThenEntry) {
  RequestQueue queue;
  Request a = WithId(9), b = WithId(8), c = WithId(7), d = WithId(6);
  queue.Enqueue(a, PriorityTier::kObjectiveLost, 1);
  queue.Enqueue(b, PriorityTier::kOrdinary, 3);
  queue.Enqueue(c, PriorityTier::kOrdinary, 3);
  queue.Enqueue(d, PriorityTier::kOverQuota, 2);
  EXPECT_EQ(Order(queue), (std::vector<RequestId>{8, 7, 6, 9}));
}

TEST(RequestQueue, DequeueTakesOutOnceAndOnlyWhatIsQueued) {
  RequestQueue queue;
  Request a = WithId(1), b = WithId(2);
  queue.Enqueue(a, PriorityTier::kOrdinary, 1);
  EXPECT_TRUE(a.queued);
  queue.Dequeue(b);
  EXPECT_EQ(queue.size(), 1u);
  queue.Dequeue(a);
  queue.Dequeue(a);
  EXPECT_FALSE(a.queued);
  EXPECT_TRUE(queue.empty());
}

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
