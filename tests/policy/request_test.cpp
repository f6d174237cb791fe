#include "policy/request.h"

#include <gtest/gtest.h>

namespace ryeglade::policy {
namespace {

TEST(Request, InFlightAttemptIsNullForUnknownAndEndedOnes) {
  Request request;
  request.attempts.resize(2);
  request.attempts[0].in_flight = false;
  EXPECT_EQ(request.InFlightAttempt(-1), nullptr);
  EXPECT_EQ(request.InFlightAttempt(0), nullptr);
  EXPECT_EQ(request.InFlightAttempt(1), &request.attempts[1]);
  EXPECT_EQ(request.InFlightAttempt(2), nullptr);
}

}  // namespace
}  // namespace ryeglade::policy
