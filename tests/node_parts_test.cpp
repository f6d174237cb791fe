// Unit tests of small components of the node: the shutdown plan, the listener, socket errors and writes,
// arrival times, replica starts, the reader of discovery watches, and forwarded header fields.
#include <gtest/gtest.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <cerrno>
#include <string>
#include <string_view>
#include <vector>

#include "app/socket_budget.h"
#include "app/termination_policy.h"
#include "base/file_io.h"
#include "base/listener.h"
#include "base/socket_error_model.h"
#include "base/tcp.h"
#include "core/json_object_reader_model.h"
#include "core/replica_incarnations_model.h"
#include "dialects/openai/openai_dialect.h"
#include "dialects/platform/platform_dialect.h"
#include "http/arrival_log.h"
#include "http/end_to_end_fields_model.h"

namespace ryeglade {
namespace {

using policy::Time;

// Returns the plan for classes with these deadlines, in microseconds.
TerminationPlan PlanFor(std::vector<Time> deadlines) {
  std::vector<policy::ClassSettings> classes;
  for (const Time deadline : deadlines) classes.emplace_back().time_budget = deadline;
  return PlanTermination(classes);
}

TEST(Termination, EarliestSigkillFollowsTheLongestDeadlineUpToThreeSeconds) {
  EXPECT_EQ(PlanFor({500'000, 1'200'000}).earliest_kill, 1'900'000);
  EXPECT_EQ(PlanFor({500'000, 60'000'000}).earliest_kill, 3'700'000);
  EXPECT_EQ(PlanFor({}).earliest_kill, 700'000);
}

TEST(Termination, EverythingEndsBeforeSigkillForAllDeadlines) {
  for (Time deadline = 0; deadline <= 4'000'000; deadline += 10'000) {
    const TerminationPlan plan = PlanFor({deadline});
    EXPECT_LT(plan.respond_by, plan.earliest_kill - 150'000);  // a node may be delayed by 0.15 s
    EXPECT_LE(plan.accept_requests_until, plan.respond_by);
    EXPECT_LT(plan.respond_by, plan.exit_by);
    EXPECT_LE(plan.exit_by, plan.earliest_kill - 80'000);
    EXPECT_LE(plan.listen_until, plan.respond_by);
    EXPECT_LE(plan.close_idle_from, plan.respond_by);
    // A request that arrives later than 0.7 s after SIGTERM and is in progress at SIGKILL is lost.
    EXPECT_LT(plan.accept_requests_until, 700'000);
    EXPECT_GE(plan.close_idle_from, 400'000);
    EXPECT_GT(plan.listen_until, 400'000);  // new connections arrive until then
  }
}

TEST(Termination, NewSettingsDuringShutdownCanOnlyMakeItEarlier) {
  const TerminationPlan longer = PlanFor({3'000'000}), shorter = PlanFor({800'000});
  for (const TerminationPlan& plan : {EarlierOf(longer, shorter), EarlierOf(shorter, longer)}) {
    EXPECT_EQ(plan.earliest_kill, shorter.earliest_kill);
    EXPECT_EQ(plan.exit_by, shorter.exit_by);
    EXPECT_EQ(plan.respond_by, shorter.respond_by);
    EXPECT_EQ(plan.accept_requests_until, shorter.accept_requests_until);
  }
}

// No connection may be established between the last accept and the close: it would be reset although its
// client may have sent a request.
// Guards against more connections than the memory suffices for, where a deployment allows very many
// descriptors.
TEST(SocketBudget, AProcessUsesNoMoreSocketsThanItsMemoryAllows) {
  constexpr std::size_t kMb = std::size_t{1024} * 1024;
  constexpr std::size_t kBytesPerConnection = std::size_t{4} * 1024;
  for (const std::size_t memory_mb : std::vector<std::size_t>{16, 32, 192, 2048}) {
    for (const std::size_t sockets : std::vector<std::size_t>{64, 256, 1024, 65536, 1 << 20}) {
      EXPECT_LE(UsableSockets(sockets, memory_mb) * kBytesPerConnection, memory_mb * kMb / 4);
    }
    EXPECT_EQ(UsableSockets(1024, memory_mb), 1024U);
  }
}

TEST(Listener, DropNewConnectionsKeepsEstablishedOnes) {
  uv_loop_t loop;
  uv_loop_init(&loop);
  Listener listener(&loop, [] {});
  sockaddr_storage at{};
  ASSERT_TRUE(ParseAddress(listener.Listen("127.0.0.1:0", false), &at));
  const auto connects = [&] {
    const int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    connect(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(sockaddr_in));
    pollfd writable{fd, POLLOUT, 0};
    const bool connected = poll(&writable, 1, 200) == 1 && (writable.revents & (POLLERR | POLLHUP)) == 0;
    close(fd);
    return connected;
  };
  EXPECT_TRUE(connects());
  listener.DropNewConnections();
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

TEST(ArrivalLog, APipelinedRequestCountsFromItsOwnArrival) {
  ArrivalLog log;
  EXPECT_EQ(log.First(99), 99);
  log.Add(100, 10);
  log.Add(50, 20);
  log.Consume(60);
  EXPECT_EQ(log.First(99), 10);
  log.Consume(40);
  EXPECT_EQ(log.First(99), 20);
  log.Consume(1'000);
  EXPECT_EQ(log.First(99), 99);
  for (std::size_t n = 0; n < 100'000; ++n)
    log.Add(1, static_cast<Time>(n));  // entries are bounded, and no time is later than the real arrival
  log.Consume(90'000);
  EXPECT_LE(log.First(0), static_cast<Time>(ArrivalLog::kMaxEntries));
}

// An attempt counts as not run only if the engine itself says that it rejected the request. A 503 without
// Retry-After may come from an intermediary.
TEST(OpenAiDialect, A503WithoutRetryAfterIsNotARejection) {
  const OpenAiDialect dialect("");
  const auto outcome = [&](int status, const char* retry_after) {
    const auto reader = dialect.NewReader();
    if (retry_after != nullptr) reader->OnHeader("Retry-After", retry_after);
    return reader->Result(status, false).outcome;
  };
  EXPECT_EQ(outcome(429, nullptr), policy::Outcome::kAtCapacity);
  EXPECT_EQ(outcome(503, "2"), policy::Outcome::kAtCapacity);
  EXPECT_EQ(outcome(503, nullptr), policy::Outcome::kError);
  EXPECT_EQ(outcome(500, "2"), policy::Outcome::kError);
}

TEST(SocketErrors, AcceptSkipsABrokenConnectionAndRetriesLaterOnAShortage) {
  EXPECT_EQ(AfterAcceptError(EAGAIN), AcceptStep::kNoneWaiting);
  for (const int error : {ECONNABORTED, EINTR, EPROTO, ENETUNREACH, EHOSTUNREACH}) {
    EXPECT_EQ(AfterAcceptError(error), AcceptStep::kTryNext) << error;
  }
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EINVAL}) {
    EXPECT_EQ(AfterAcceptError(error), AcceptStep::kTryLater) << error;
  }
}

TEST(SocketErrors, OnlyShortagesOfThisMachineAreLocalConnectErrors) {
  for (const int error : {EMFILE, ENFILE, ENOBUFS, ENOMEM, EADDRNOTAVAIL}) {
    EXPECT_TRUE(IsLocalConnectError(error)) << error;
  }
  for (const int error : {ECONNREFUSED, ETIMEDOUT, EHOSTUNREACH, ENETUNREACH, ECONNRESET}) {
    EXPECT_FALSE(IsLocalConnectError(error)) << error;
  }
}

TEST(ReadFileIfPresent, AnUnreadableFileIsEmptyAndDoesNotThrow) {
  EXPECT_EQ(ReadFileIfPresent("/proc/self/mem"), "");  // can be opened, but reading its beginning fails
  EXPECT_EQ(ReadFileIfPresent("/nowhere/at/all"), "");
  EXPECT_NE(ReadFileIfPresent("/proc/self/stat"), "");
}

constexpr Time kHour = 3'600'000'000;
constexpr Time kNow = 1'000 * kHour;

TEST(ReplicaIncarnations, AStartInThePastIsUsedAsReported) {
  ReplicaIncarnations starts;
  EXPECT_EQ(starts.StartOf(1, 0, kNow), 0);
  EXPECT_EQ(starts.StartOf(1, kNow - 5'000'000, kNow), kNow - 5'000'000);
  EXPECT_EQ(starts.size(), 0u);
}

// The node's clock was an hour behind when the node started. Without this rule, each replica that started
// within the last hour would count as warming up for up to an hour.
TEST(ReplicaIncarnations, AStartInTheFutureCountsFromItsFirstReport) {
  ReplicaIncarnations starts;
  const Time reported = kNow + kHour - 20'000'000;
  EXPECT_EQ(starts.StartOf(1, reported, kNow), kNow);
  EXPECT_EQ(starts.StartOf(1, reported, kNow + 9'000'000), kNow);  // the same start, reported again
  EXPECT_EQ(starts.StartOf(1, reported, reported + 1), kNow);      // also once that time has come
  EXPECT_EQ(starts.StartOf(1, reported + 30'000'000, kNow + 30'000'000), kNow + 30'000'000);  // a new start
}

TEST(ReplicaIncarnations, ForgottenReplicasTakeNoMemory) {
  ReplicaIncarnations starts;
  for (policy::ReplicaId id = 0; id < 100; ++id) starts.StartOf(id, kNow + kHour, kNow);
  for (policy::ReplicaId id = 0; id < 100; ++id) starts.Forget(id);
  EXPECT_EQ(starts.size(), 0u);
}

// ---- Writes that the kernel takes only partly ----

// Ignores all events.
struct NoOwner : TcpOwner {
  void OnConnected(Handle, int) override {}
  void OnRead(Handle, std::string_view) override {}
  void OnDisconnected(Handle) override {}
};

// Bytes that the kernel has taken may reach the peer, so they do not count as unsent even if libuv has not
// reported the write as done.
TEST(Tcp, UnsentCountsOnlyBytesThatTheKernelHasNotTaken) {
  uv_loop_t loop;
  ASSERT_EQ(uv_loop_init(&loop), 0);
  BufferPool pool(std::size_t{64} << 20);
  NoOwner owner;
  int pair[2] = {-1, -1};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
  Tcp* tcp = Tcp::New(&loop, &pool, &owner, 1);
  ASSERT_TRUE(tcp->Open(pair[0]));
  const std::string much(std::size_t{8} << 20, 'x');
  ASSERT_TRUE(tcp->Write(much));
  const std::size_t at_first = tcp->unsent();
  ASSERT_GT(at_first, 0U);
  std::vector<char> room(std::size_t{64} << 10);
  std::size_t read_by_peer = 0;
  for (ssize_t n = 0; (n = recv(pair[1], room.data(), room.size(), 0)) > 0;)
    read_by_peer += static_cast<std::size_t>(n);
  uv_run(&loop, UV_RUN_NOWAIT);  // the kernel takes more, but not nearly everything
  EXPECT_LT(tcp->unsent(), at_first);
  EXPECT_GT(tcp->unsent(), 0U);
  EXPECT_LE(read_by_peer, much.size() - tcp->unsent());
  tcp->Close();
  uv_run(&loop, UV_RUN_DEFAULT);
  close(pair[1]);
  EXPECT_EQ(uv_loop_close(&loop), 0);
}

// A chunk that found no memory must not be followed by the last chunk, as if the stream were complete.
TEST(Tcp, NothingIsWrittenBehindAWriteThatFailed) {
  uv_loop_t loop;
  ASSERT_EQ(uv_loop_init(&loop), 0);
  BufferPool pool(std::size_t{64} << 20);
  NoOwner owner;
  int pair[2] = {-1, -1};
  ASSERT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, pair), 0);
  Tcp* tcp = Tcp::New(&loop, &pool, &owner, 1);
  ASSERT_TRUE(tcp->Open(pair[0]));
  ASSERT_TRUE(tcp->Write(std::string(std::size_t{8} << 20, 'x')));
  {
    MemoryReservation others(&pool);
    ASSERT_TRUE(others.Resize(pool.max_bytes() - pool.used_bytes()));
    EXPECT_FALSE(tcp->Write("an event"));
  }
  EXPECT_FALSE(tcp->Write("0\r\n\r\n"));
  tcp->Close();
  uv_run(&loop, UV_RUN_DEFAULT);
  close(pair[1]);
  EXPECT_EQ(uv_loop_close(&loop), 0);
}

// A stream that breaks off within its load report must not leave a number that lacks digits.
TEST(PlatformDialect, AnUnfinishedLoadReportIsNotUsed) {
  const auto reader = PlatformDialect(true).NewReader();
  reader->OnBody("data: x\r\n\r\n: X-Load-Report: queue=1");
  EXPECT_EQ(reader->Metadata(false).load_report, "");
  reader->OnBody("2\r\n");
  EXPECT_EQ(reader->Metadata(false).load_report, " queue=12");
}

// ---- Objects in the text of a discovery watch ----

using Found = JsonObjectReader::Found;

// Feeds `text` to a reader in pieces of `size` bytes and returns what it finds: the text of each object, ""
// for a heartbeat, and "malformed" as the last entry if the text is malformed.
std::vector<std::string> ReadInPieces(const std::string& text, std::size_t size) {
  JsonObjectReader reader;
  std::vector<std::string> all;
  std::string object;
  for (std::size_t at = 0; at < text.size(); at += size) {
    reader.Append(std::string_view(text).substr(at, size));
    for (Found found; (found = reader.Next(&object)) != Found::kIncomplete;) {
      if (found == Found::kMalformed) return all.push_back("malformed"), all;
      all.push_back(found == Found::kObject ? object : "");
    }
  }
  return all;
}

TEST(JsonObjectReader, FindsObjectsWhateverTheirIndentationAndFragmentation) {
  const std::string one = R"({"a":[1,{"b":"}\\\"{"}],"c":"]"})";
  const std::string indented = "{\n  \"a\": [\n    1\n  ]\n}";
  const std::string text = "\n" + one + "\n\r\n  " + indented + "\n\n" + one + one + "\n";
  const std::vector<std::string> expected = {"", one, "", indented, "", one, one};
  for (std::size_t size = 1; size <= text.size(); ++size)
    EXPECT_EQ(ReadInPieces(text, size), expected) << size;
}

TEST(JsonObjectReader, ATruncatedObjectIsMalformedAtOnce) {
  for (const std::string text : {"[1]\n", "null\n", "{\"a\":\"cut\n", "{\"a\":1,\n\n", "{\"a\":[\n \n"}) {
    const std::vector<std::string> found = ReadInPieces(text, 3);
    ASSERT_FALSE(found.empty()) << text;
    EXPECT_EQ(found.back(), "malformed") << text;
  }
}

TEST(JsonObjectReader, FreesWhatItHasReturned) {
  JsonObjectReader reader;
  std::string object;
  for (int n = 0; n < 1000; ++n) {
    reader.Append("\n{\"n\":1}\n");
    while (reader.Next(&object) != Found::kIncomplete) {
    }
    EXPECT_EQ(reader.pending(), 0U);
  }
}

// ---- Header fields that a proxy forwards ----

TEST(EndToEndFields, HopByHopFieldsAndTheProxysOwnFieldsAreNotForwarded) {
  const HeaderFields request = {{"Host", "a"},
                                {"Idempotency-Key", "k 1"},
                                {"Connection", "close, X-Hop"},
                                {"x-hop", "1"},
                                {"Transfer-Encoding", "chunked"},
                                {"TE", "trailers"},
                                {"Content-Length", "3"},
                                {"X-Own", "1"},
                                {"Traceparent", "00-1"}};
  const HeaderFields expected = {{"Idempotency-Key", "k 1"}, {"Traceparent", "00-1"}};
  EXPECT_EQ(EndToEndFields(request, {"x-own"}), expected);
}

TEST(EndToEndFields, FieldsThatCouldBeParsedAsOtherFieldsAreNotForwarded) {
  const HeaderFields request = {{"Transfer-Encoding ", "chunked"},
                                {"A", "1\r\nB: 2"},
                                {"A:B", "1"},
                                {"", "1"},
                                {"C", std::string("1\0", 2)}};
  EXPECT_TRUE(EndToEndFields(request, {}).empty());
}

}  // namespace
}  // namespace ryeglade
