#include "policy/load_reports.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

class LoadReportsTest : public testing::Test {
 protected:
  Settings settings_;
  ReplicaSpeed speed_{settings_};
  LoadReports reports_{settings_, speed_};
};

TEST_F(LoadReportsTest, InFlightTakesPrecedenceOverUtilization) {
  settings_.load_fields = {LoadField::kUtilization, LoadField::kInFlight, LoadField::kUtilization};
  Replica replica;
  EXPECT_FALSE(LoadReports::HasReport(replica));
  reports_.Record(replica, {0.5, 7, 0.6}, 10);
  EXPECT_EQ(replica.reported_load, 7);
  EXPECT_EQ(replica.reported_at, 10);
}

TEST_F(LoadReportsTest, OtherFieldsAndEmptyReportsAreIgnored) {
  settings_.load_fields = {LoadField::kQueueLength, LoadField::kUtilization};
  Replica replica;
  reports_.Record(replica, {}, 10);
  EXPECT_FALSE(LoadReports::HasReport(replica));
  reports_.Record(replica, {3}, 10);
  EXPECT_FALSE(LoadReports::HasReport(replica));
  reports_.Record(replica, {3, 0.25}, 10);
  EXPECT_EQ(replica.reported_load, 0.25);
}

TEST_F(LoadReportsTest, RelativeLoadIsOverTheMeanAndBounded) {
  settings_.load_fields = {LoadField::kUtilization};
  Replica low, high;
  reports_.Record(low, {0.4}, 10);
  reports_.Record(high, {0.6}, 10);
  reports_.ResetMean();
  reports_.CountTowardsMean(low, 10);
  reports_.CountTowardsMean(high, 10);
  EXPECT_NEAR(reports_.RelativeLoad(low, 10), 0.8, 1e-6);
  EXPECT_NEAR(reports_.RelativeLoad(high, 10), 1.2, 1e-6);
  reports_.Record(high, {60}, 10);
  EXPECT_EQ(reports_.RelativeLoad(high, 10), 1.5);
}

}  // namespace
}  // namespace ryeglade::policy
