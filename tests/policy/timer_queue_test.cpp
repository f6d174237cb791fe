#include "policy/timer_queue.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(TimerQueue, ArmsForTheEarliestOnly) {
  TimerQueue timers;
  EXPECT_FALSE(timers.Arm(0).has_value());
  timers.Schedule(100, TimerKind::kUpdateLimits);
  const auto first = timers.Arm(10);
  ASSERT_TRUE(first.has_value());
  EXPECT_EQ(first->delay, 90);
  timers.Schedule(200, TimerKind::kUpdateLimits);
  EXPECT_FALSE(timers.Arm(10).has_value());
  timers.Schedule(50, TimerKind::kUpdateLimits);
  const auto earlier = timers.Arm(10);
  ASSERT_TRUE(earlier.has_value());
  EXPECT_EQ(earlier->delay, 40);
  timers.Fired(first->token);  // a later SetTimer has replaced it, so the timer for 50 is still armed
  EXPECT_FALSE(timers.Arm(10).has_value());
  timers.Fired(earlier->token);
  EXPECT_TRUE(timers.Arm(10).has_value());
}

TEST(TimerQueue, DueTimersComeByTimeThenByOrderOfScheduling) {
  TimerQueue timers;
  timers.Schedule(20, TimerKind::kQueueTimeout, 1);
  timers.Schedule(10, TimerKind::kQueueTimeout, 2);
  timers.Schedule(10, TimerKind::kObjectiveMissed, 3);
  timers.Schedule(30, TimerKind::kQueueTimeout, 4);
  std::vector<RequestId> due;
  while (const auto timer = timers.PopDue(20)) due.push_back(timer->request);
  EXPECT_EQ(due, (std::vector<RequestId>{2, 3, 1}));
}

}  // namespace
}  // namespace ryeglade::policy
