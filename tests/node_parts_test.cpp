// Pure parts of the node: when a node that was told to end stops what, and what socket errors say.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>

#include "app/termination_policy.h"
#include "base/listener.h"
#include "base/socket_error_model.h"
#include "base/tcp.h"
#include "base/whole_file.h"
#include "core/start_times_model.h"
#include "dialects/openai/openai_dialect.h"
#include "http/arrival_log.h"

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
    EXPECT_LT(plan.answer_by, plan.stop_by);
    EXPECT_LE(plan.stop_by, plan.killed_from - 80'000);
    EXPECT_LE(plan.listen_until, plan.answer_by);
    EXPECT_LE(plan.close_idle, plan.answer_by);
    // What comes later than 0.7 s after SIGTERM and is still under way at SIGKILL is lost.
    EXPECT_LT(plan.take_until, 700'000);
    EXPECT_GE(plan.close_idle, 400'000);
    EXPECT_GT(plan.listen_until, 400'000);  // new connections come until then
  }
}

TEST(Termination, SettingsThatComeOnceItHasBegunCanOnlyBringItForward) {
  const TerminationPlan longer = PlanFor({3'000'000}), shorter = PlanFor({800'000});
  for (const TerminationPlan& plan : {Earlier(longer, shorter), Earlier(shorter, longer)}) {
    EXPECT_EQ(plan.killed_from, shorter.killed_from);
    EXPECT_EQ(plan.stop_by, shorter.stop_by);
    EXPECT_EQ(plan.answer_by, shorter.answer_by);
    EXPECT_EQ(plan.take_until, shorter.take_until);
  }
}

// Between the last accept and the close no connection may come up: it would be reset with a request on it.
TEST(Listener, AfterStopNewNothingComesUpAndWhatCameUpCanBeTaken) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  Listener listener(&loop, [] {});
  sockaddr_storage at{};
  ASSERT_TRUE(ParseAddress(listener.Listen("127.0.0.1:0", false), &at));
  const auto connects = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(sockaddr_in));
    pollfd up{fd, POLLOUT, 0};
    const bool yes = poll(&up, 1, 200) == 1 && (up.revents & (POLLERR | POLLHUP)) == 0;
    close(fd);
    return yes;
  };
  EXPECT_TRUE(connects());
  listener.StopNew();
  EXPECT_FALSE(connects());
  int error = 0;
  const int waiting = listener.Accept(&error);
  EXPECT_GE(waiting, 0);
  close(waiting);
  EXPECT_LT(listener.Accept(&error), 0);
  listener.Close();
  uv_run(&loop, UV_RUN_DEFAULT);
  uv_loop_close(&loop);
}

TEST(ArrivalLog, WhatWaitedBehindAnotherRequestCountsFromItsOwnArrival) {
  ArrivalLog log;
  EXPECT_EQ(log.First(99), 99);
  log.Add(100, 10);
  log.Add(50, 20);
  log.Take(60);
  EXPECT_EQ(log.First(99), 10);
  log.Take(40);
  EXPECT_EQ(log.First(99), 20);
  log.Take(1'000);
  EXPECT_EQ(log.First(99), 99);
  for (std::size_t n = 0; n < 100'000; ++n)
    log.Add(1, static_cast<Time>(n));  // bounded, and never later than it came
  log.Take(90'000);
  EXPECT_LE(log.First(0), static_cast<Time>(ArrivalLog::kMostEntries));
}

// What an OpenAI-style engine says of an attempt: only its own word that it turned it away proves that it
// never ran.
TEST(OpenAiDialect, ABare503ProvesNothing) {
  const OpenAiDialect dialect("");
  const auto outcome = [&](int status, const char* retry_after) {
    const auto reader = dialect.NewReader();
    if (retry_after != nullptr) reader->OnHeader("Retry-After", retry_after);
    return reader->AtEnd(status, false).outcome;
  };
  EXPECT_EQ(outcome(429, nullptr), policy::Outcome::kFull);
  EXPECT_EQ(outcome(503, "2"), policy::Outcome::kFull);
  EXPECT_EQ(outcome(503, nullptr), policy::Outcome::kError);
  EXPECT_EQ(outcome(500, "2"), policy::Outcome::kError);
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

TEST(ReadIfThere, AFileThatCannotBeReadIsEmptyAndThrowsNothing) {
  EXPECT_EQ(ReadIfThere("/proc/self/mem"), "");  // it opens, and reading its beginning fails
  EXPECT_EQ(ReadIfThere("/nowhere/at/all"), "");
  EXPECT_NE(ReadIfThere("/proc/self/stat"), "");
}

constexpr Time kHour = 3'600'000'000;
constexpr Time kNow = 1'000 * kHour;

TEST(StartTimes, AStartInThePastIsTakenAsTold) {
  StartTimes starts;
  EXPECT_EQ(starts.Take(1, 0, kNow), 0);
  EXPECT_EQ(starts.Take(1, kNow - 5'000'000, kNow), kNow - 5'000'000);
  EXPECT_EQ(starts.size(), 0u);
}

// The clock was an hour behind when this node started: without this each replica that started within the last
// hour would count as cold for up to an hour.
TEST(StartTimes, AStartInTheFutureCountsFromWhenItWasHeardOf) {
  StartTimes starts;
  const Time told = kNow + kHour - 20'000'000;
  EXPECT_EQ(starts.Take(1, told, kNow), kNow);
  EXPECT_EQ(starts.Take(1, told, kNow + 9'000'000), kNow);  // told again it has not started again
  EXPECT_EQ(starts.Take(1, told, told + 1), kNow);          // nor once the clock has come that far
  EXPECT_EQ(starts.Take(1, told + 30'000'000, kNow + 30'000'000), kNow + 30'000'000);  // now it has
}

TEST(StartTimes, KeepsNothingOfReplicasThatAreGone) {
  StartTimes starts;
  for (policy::ReplicaId id = 0; id < 100; ++id) starts.Take(id, kNow + kHour, kNow);
  for (policy::ReplicaId id = 0; id < 100; ++id) starts.Forget(id);
  EXPECT_EQ(starts.size(), 0u);
}

}  // namespace
}  // namespace ryeglade
