#include "policy/outlier_ejection.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>

namespace ryeglade::policy {
namespace {

class OutlierEjectionTest : public testing::Test {
 protected:
  OutlierEjection ejection_;
  RandomSource random_{1};
  Replica replica_;
};

TEST_F(OutlierEjectionTest, ASingleFailureEjectsOnlyAnUnreachableReplica) {
  EXPECT_FALSE(ejection_.RecordFailure(replica_, Outcome::kReset, 0, random_).has_value());
  EXPECT_TRUE(ejection_.RecordFailure(replica_, Outcome::kReset, 0, random_).has_value());
  Replica unreachable;
  EXPECT_TRUE(ejection_.RecordFailure(unreachable, Outcome::kConnectFailed, 0, random_).has_value());
}

TEST_F(OutlierEjectionTest, LastsLongerWithEachFailureUpToABound) {
  for (int failure = 1; failure <= 10; ++failure) {
    const auto until = ejection_.RecordFailure(replica_, Outcome::kConnectFailed, 0, random_);
    ASSERT_TRUE(until.has_value());
    const double mean = 1e6 * std::min(8.0, std::exp2(failure - 1));
    EXPECT_GE(static_cast<double>(*until), 0.75 * mean - 1);
    EXPECT_LE(static_cast<double>(*until), 1.25 * mean);
    EXPECT_TRUE(OutlierEjection::IsEjected(replica_, *until - 1));
    EXPECT_FALSE(OutlierEjection::IsEjected(replica_, *until));
  }
}

TEST_F(OutlierEjectionTest, EjectionsByPeersCount) {
  replica_.peer_report.ejected_until = 100;
  EXPECT_FALSE(ejection_.MayDispatch(replica_, 99));
  EXPECT_TRUE(ejection_.MayDispatch(replica_, 100));
}

TEST_F(OutlierEjectionTest, NothingIsEjectedBeyondThePanicThreshold) {
  replica_.ejected_until = 100;
  ejection_.UpdatePanic(4, 10);
  EXPECT_FALSE(ejection_.MayDispatch(replica_, 0));
  ejection_.UpdatePanic(5, 10);
  EXPECT_FALSE(ejection_.is_enforced());
  EXPECT_TRUE(ejection_.MayDispatch(replica_, 0));
}

}  // namespace
}  // namespace ryeglade::policy
