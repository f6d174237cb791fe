#include "policy/request_queue.h"

#include <gtest/gtest.h>

#include <vector>

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
  queue.Enqueue(a, PriorityTier::kObjectiveMissed, 1);
  queue.Enqueue(b, PriorityTier::kOrdinary, 3);
  queue.Enqueue(c, PriorityTier::kOrdinary, 3);
  queue.Enqueue(d, PriorityTier::kOverQuota, 2);
  EXPECT_EQ(Order(queue), (std::vector<RequestId>{8, 7, 6, 9}));
}

TEST(RequestQueue, DequeueRemovesOnlyQueuedRequests) {
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

}  // namespace
}  // namespace ryeglade::policy
