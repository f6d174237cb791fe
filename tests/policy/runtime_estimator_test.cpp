#include "policy/runtime_estimator.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

Settings OneClass() {
  Settings settings;
  settings.classes.resize(1);
  settings.classes[0].latency_objective = 1'000'000;
  return settings;
}

Request WithPrompt(double tokens, Time cost_hint = 0) {
  Request request;
  request.arrival.prompt_tokens = tokens;
  request.arrival.cost_hint = cost_hint;
  request.objective_at = 1'000'000;
  return request;
}

class RuntimeEstimatorTest : public testing::Test {
 protected:
  RuntimeEstimatorTest() { estimator_.ResizeTables(); }
  double Estimate(Request request) const {
    estimator_.Estimate(request);
    return request.estimated_runtime;
  }
  void Serve(Request request, double runtime, int times) {
    for (int i = 0; i < times; ++i) {
      estimator_.Estimate(request);
      estimator_.LearnRuntime(request, runtime);
    }
  }
  Settings settings_ = OneClass();
  RuntimeEstimator estimator_{settings_};
};

TEST_F(RuntimeEstimatorTest, IsTheObjectiveBeforeAnythingWasServed) {
  EXPECT_EQ(Estimate(WithPrompt(100)), 1'000'000);
}

TEST_F(RuntimeEstimatorTest, DistinguishesPromptLengthsAndFallsBackToTheClass) {
  Serve(WithPrompt(100), 10'000, 100);
  Serve(WithPrompt(10'000), 90'000, 100);
  EXPECT_NEAR(Estimate(WithPrompt(100)), 10'000, 4'000);
  EXPECT_NEAR(Estimate(WithPrompt(10'000)), 90'000, 4'000);
  EXPECT_NEAR(Estimate(WithPrompt(1'000)), 50'000, 4'000);
  EXPECT_NEAR(estimator_.TypicalRuntime(WithPrompt(1'000)), 50'000, 4'000);
}

TEST_F(RuntimeEstimatorTest, PrefersCostHintsThatWereMoreAccurateThanBuckets) {
  for (int i = 0; i < 200; ++i) {
    Serve(WithPrompt(100, 1'000), 2'000, 1);
    Serve(WithPrompt(100, 50'000), 100'000, 1);
  }
  EXPECT_NEAR(Estimate(WithPrompt(100, 1'000)), 2'000, 500);
  EXPECT_NEAR(Estimate(WithPrompt(100, 50'000)), 100'000, 10'000);
}

TEST_F(RuntimeEstimatorTest, ExpectedTimeToFirstTokenIsAtMostHalfOfTheObjective) {
  const Request request = WithPrompt(100);
  EXPECT_EQ(estimator_.ExpectedTimeToFirstToken(request), 0);
  EXPECT_FALSE(estimator_.TypicalTimeToFirstToken(request).has_value());
  for (int i = 0; i < 10; ++i) estimator_.LearnTimeToFirstToken(request, 800'000);
  EXPECT_EQ(estimator_.ExpectedTimeToFirstToken(request), 500'000);
  EXPECT_EQ(estimator_.TypicalTimeToFirstToken(request), 800'000);
}

TEST_F(RuntimeEstimatorTest, RestoresWhatWasExported) {
  Serve(WithPrompt(100), 10'000, 50);
  LearnedState state;
  estimator_.ExportTo(state);
  RuntimeEstimator next(settings_);
  next.RestoreFrom(state);
  Request a = WithPrompt(100), b = WithPrompt(100);
  estimator_.Estimate(a);
  next.Estimate(b);
  EXPECT_EQ(a.estimated_runtime, b.estimated_runtime);
  EXPECT_EQ(next.mean_runtime(), estimator_.mean_runtime());
}

}  // namespace
}  // namespace ryeglade::policy
