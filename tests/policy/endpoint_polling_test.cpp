#include "policy/endpoint_polling.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

class EndpointPollingTest : public testing::Test {
 protected:
  EndpointPollingTest() { settings_.poll_endpoints = true; }
  Settings settings_;
  RandomSource random_{1};
  EndpointPolling polling_{settings_};
};

TEST_F(EndpointPollingTest, RequestsNothingWhereTheListIsPushed) {
  settings_.poll_endpoints = false;
  EXPECT_FALSE(polling_.FirstDelay(random_).has_value());
  EXPECT_FALSE(polling_.OnFailure(random_).has_value());
}

TEST_F(EndpointPollingTest, FirstRequestComesWithinAPartOfTheInterval) {
  settings_.max_poll_interval = 500'000;
  for (int i = 0; i < 100; ++i) EXPECT_LE(*polling_.FirstDelay(random_), 200'000);
}

TEST_F(EndpointPollingTest, BacksOffWithJitterUpToABoundAndResetsAfterAList) {
  for (const double mean : {200e3, 400e3, 800e3, 1600e3, 2000e3, 2000e3}) {
    const auto delay = static_cast<double>(*polling_.OnFailure(random_));
    EXPECT_GE(delay, 0.5 * mean - 1);
    EXPECT_LE(delay, 1.5 * mean);
  }
  polling_.OnList(EndpointListScope::kCached);  // not from service discovery, so the backoff is not reset
  EXPECT_GE(*polling_.OnFailure(random_), 999'999);
  polling_.OnList(EndpointListScope::kFull);
  EXPECT_LE(*polling_.OnFailure(random_), 300'000);
}

TEST_F(EndpointPollingTest, OpensOneWatchAtATime) {
  EXPECT_TRUE(polling_.OpenWatch());
  EXPECT_FALSE(polling_.OpenWatch());
  polling_.OnFailure(random_);
  EXPECT_TRUE(polling_.OpenWatch());
}

}  // namespace
}  // namespace ryeglade::policy
