// Pure parts of the node: when a node that was told to end stops what, and what socket errors say.
#include <gtest/gtest.h>

#include <cerrno>

#include "app/termination_policy.h"
#include "base/socket_error_model.h"

namespace ryeglade {
namespace {

using policy::Time;

TerminationPlan PlanFor(std::vector<Time> deadlines) {
  std::vector<policy::ClassSettings> classes;
  for (const Time deadline : deadlines) classes.emplace_back().deadline = deadline;
  return PlanTermination(classes);
}

TEST(Termination, SigkillComesAfterTheLongestDeadlineCountedAsAtMostThreeSeconds) {
  EXPECT_EQ(PlanFor({500'000, 1'200'000}).killed_from, 1'900'000);
  EXPECT_EQ(PlanFor({500'000, 60'000'000}).killed_from, 3'700'000);
  EXPECT_EQ(PlanFor({}).killed_from, 700'000);
}

TEST(Termination, EverythingIsOverBeforeSigkillWhateverTheDeadlines) {
  for (Time deadline = 0; deadline <= 4'000'000; deadline += 10'000) {
    const TerminationPlan plan = PlanFor({deadline});
    EXPECT_LT(plan.answer_by, plan.killed_from - 150'000);  // a node may be held up for 0.15 s
    EXPECT_LE(plan.take_until, plan.answer_by);
    EXPECT_LE(plan.close_idle, plan.answer_by);
    // What comes later than 0.7 s after SIGTERM and is still under way at SIGKILL is lost.
    EXPECT_LT(plan.take_until, 700'000);
    EXPECT_GE(plan.close_idle, 400'000);
    EXPECT_GT(plan.listen_until, 400'000);  // new connections come until then
  }
}

TEST(SocketErrors, ABrokenConnectionIsSkippedAndAShortageIsWaitedOut) {
  EXPECT_EQ(AfterAcceptError(EAGAIN), AcceptStep::kNoneWaiting);
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETUNREACH, EHOSTUNREACH}) {
    EXPECT_EQ(AfterAcceptError(error), AcceptStep::kTryNext) << error;
  }
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EINVAL}) {
    EXPECT_EQ(AfterAcceptError(error), AcceptStep::kTryLater) << error;
  }
}

TEST(SocketErrors, OnlyShortagesOfThisMachineAreNoEvidenceOnThePeer) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL}) {
    EXPECT_TRUE(IsLocalConnectError(error)) << error;
  }
  for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET}) {
    EXPECT_FALSE(IsLocalConnectError(error)) << error;
  }
}

}  // namespace
}  // namespace ryeglade
