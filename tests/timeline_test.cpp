// The flight record: undamaged blocks are read as they were written, whatever damages the rest of the file,
// and a replay detects a decision module that decides differently.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <signal.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "lab/local_fleet.h"
#include "node.h"
#include "settings.h"
#include "shell.h"
#include "timeline/block.h"
#include "timeline/flight_record_codec.h"
#include "timeline/flight_record_text_model.h"
#include "timeline/flight_recorder.h"
#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

using namespace policy;
using test::Shell;

const std::string kSettings =
    "classes.count=1\nclasses.0.name=docs\nclasses.0.promise=1000000\nclasses.0.deadline=8000000\nclasses.0."
    "stream=true\n"
    "limits.max-attempts=4\nobligations.answer-slack=16000\n";

// Returns the encoded record of a Router that handles arrivals, all kinds of outcomes, drains and timers.
std::string RecordTraffic(std::uint64_t seed, const std::string& settings = kSettings) {
  std::string out;
  const Time start = 100'000'000;
  Encode(Start{kFormat, "n0", settings, 7, start}, out);
  Router router(wire::ReadSettings(settings), 7, start);
  std::vector<std::pair<Time, std::uint64_t>> timers;
  std::vector<std::pair<RequestId, ReplicaId>> in_flight;
  std::vector<int> attempts(2000, 0);
  Time now = start;
  const auto handle = [&](const Event& event) {
    std::vector<Action> actions;
    router.Handle(now, event, actions);
    Encode(now, event, actions, out);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) in_flight.emplace_back(send->id, send->replica);
      if (const auto* timer = std::get_if<SetTimer>(&a))
        timers.emplace_back(now + timer->delay, timer->token);
    }
  };
  handle(EndpointList{EndpointListScope::kFull, 1, test::ReadyReplicas(4)});
  for (RequestId id = 1; id <= 400; ++id) {
    seed = seed * 6364136223846793005ULL + 1442695040888963407ULL;
    now += static_cast<Time>(seed >> 50);
    for (std::size_t i = 0; i < timers.size();) {
      if (timers[i].first > now) {
        ++i;
        continue;
      }
      const std::uint64_t token = timers[i].second;
      timers.erase(timers.begin() + static_cast<std::ptrdiff_t>(i));
      handle(TimerFired{token});
    }
    handle(RequestArrived{id, 0, 0, id % 7, id % 3, 500, 100, 80, 4'000'000, 0, false, false, false});
    if (id % 50 == 0) {
      Endpoint e = test::Ready(static_cast<ReplicaId>(id / 50 % 4));
      e.state = id % 100 == 0 ? EndpointState::kReady : EndpointState::kDraining;
      handle(EndpointList{EndpointListScope::kDelta, static_cast<std::uint32_t>(id), {e}});
    }
    while (in_flight.size() > 3) {
      const auto [request, replica] = in_flight.front();
      in_flight.erase(in_flight.begin());
      const auto outcome = static_cast<Outcome>(request % 6);
      int& n = attempts[request];
      if (outcome == Outcome::kServed) handle(ResponseStarted{request, n, replica, 100'000});
      handle(AttemptEnded{request, n, replica, outcome, 300'000, outcome == Outcome::kServed, 20, {}});
      ++n;
    }
  }
  return out;
}

// Replays the records in `bytes`.
Verifier Verify(const std::string& bytes) {
  std::vector<Record> records;
  Decode(bytes, records);
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  return v;
}

TEST(Flight, EveryDecisionIsReproduced) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Verifier v = Verify(RecordTraffic(seed));
    EXPECT_GT(v.decisions(), 600U);
    EXPECT_EQ(v.matched(), v.decisions()) << v.first_difference();
    EXPECT_TRUE(v.good());
  }
}

// Guards against a replay that always succeeds: a Router with one changed setting must be detected.
TEST(Flight, ADifferentDecisionIsDetected) {
  std::string changed = kSettings;
  changed.replace(changed.find("max-attempts=4"), 14, "max-attempts=2");
  std::vector<Record> records;
  Decode(RecordTraffic(1), records);
  std::get<Start>(records.front()).settings = changed;
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  EXPECT_FALSE(v.good());
  EXPECT_LT(v.matched(), v.decisions());
  EXPECT_NE(v.first_difference().find("recorded:"), std::string::npos);
}

TEST(Flight, DecisionsAfterAGapAreSkipped) {
  std::vector<Record> records;
  Decode(RecordTraffic(1), records);
  records.insert(records.begin() + 100, Gap{5});
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  EXPECT_EQ(v.decisions(), 99U);
  EXPECT_EQ(v.matched(), 99U);
  EXPECT_GT(v.skipped(), 500U);
}

RC_GTEST_PROP(FlightProperty, AnyBytesAreDecodedOrRejected, (const std::string& bytes)) {
  std::vector<Record> records;
  try {
    Decode(bytes, records);
  } catch (const std::runtime_error&) {
  }
  for (const Record& r : records) RC_ASSERT(!ToText(r).empty());
}

// Returns a file of four blocks, and their raw bytes in `raw_blocks`.
std::string MakeFile(std::vector<std::string>* raw_blocks) {
  std::string file = FileHeader();
  for (std::uint64_t n = 0; n < 4; ++n) {
    raw_blocks->push_back(RecordTraffic(n).substr(0, 400 + 300 * n));
    file += MakeBlock(raw_blocks->back(), n);
  }
  return file;
}

TEST(Blocks, CompleteBlocksOfATruncatedFileAreRead) {
  std::vector<std::string> raw_blocks;
  const std::string file = MakeFile(&raw_blocks);
  for (std::size_t cut = FileHeader().size(); cut <= file.size(); ++cut) {
    std::size_t read = 0;
    const ReadReport report =
        ReadBlocks(std::string_view(file).substr(0, cut), [&](std::uint64_t n, std::string_view raw) {
          EXPECT_EQ(raw, raw_blocks[n]);
          return ++read > 0;
        });
    std::size_t complete = 0, end = FileHeader().size();
    while (complete < raw_blocks.size() && end + MakeBlock(raw_blocks[complete], complete).size() <= cut) {
      end += MakeBlock(raw_blocks[complete], complete).size();
      ++complete;
    }
    ASSERT_EQ(read, complete) << cut;
    ASSERT_EQ(report.lost_bytes, cut - end) << cut;
  }
}

TEST(Blocks, AFlippedBitLosesOnlyItsBlockAndIsReported) {
  std::vector<std::string> raw_blocks;
  const std::string file = MakeFile(&raw_blocks);
  for (std::size_t at = FileHeader().size(); at < file.size(); at += 3) {
    std::string bad = file;
    bad[at] = static_cast<char>(bad[at] ^ (1 << (at % 8)));
    std::size_t read = 0;
    const ReadReport report = ReadBlocks(bad, [&](std::uint64_t n, std::string_view raw) {
      EXPECT_EQ(raw, raw_blocks[n]);
      return ++read > 0;
    });
    ASSERT_EQ(read, raw_blocks.size() - 1) << at;
    ASSERT_TRUE(report.lost_bytes > 0 && report.lost_ranges == 1);
  }
  EXPECT_THROW(ReadBlocks("", nullptr), std::runtime_error);
  EXPECT_THROW(ReadBlocks("a foreign file", nullptr), std::runtime_error);
  EXPECT_THROW(ReadBlocks("RGFLIGHT\x09", nullptr), std::runtime_error);
}

// ---- A node as a process ----

// A fleet of one node and three replicas. The node writes a flight record to `directory`, by default to its
// own directory.
struct RecordingFleet {
  RecordingFleet(const std::string& extra_settings, const std::string& directory = "@DIR@") {
    lab::LocalFleetOptions o;
    o.program = std::getenv("RYEGLADE_PROGRAM");
    o.replicas.resize(3);
    o.extra_settings = "[timeline]\ndirectory = \"" + directory + "\"\n" + extra_settings;
    fleet = std::make_unique<lab::LocalFleet>(o);
  }
  // Sends requests, some of them with a fault, and returns how many were served.
  int SendRequests(int requests) {
    static const char* kFaults[] = {"none", "reset-once", "error-once", "break", "busy-once", "none"};
    int served = 0;
    for (int i = 0; i < requests; ++i) {
      const lab::Reply r = fleet->SendAndWait(
          fleet->openai(),
          lab::Post("/v1/chat/completions", "",
                    R"({"model":"docs-model","max_tokens":5,"messages":[{"role":"user","content":"q)" +
                        std::to_string(i) + " #fault=" + kFaults[i % 6] + " \"}]}"));
      served += r.status == 200 ? 1 : 0;
    }
    return served;
  }
  std::string Command(const std::string& arguments) const {
    return Shell(std::string(std::getenv("RYEGLADE_PROGRAM")) + " timeline " + arguments + " " +
                 fleet->node().directory());
  }
  std::unique_ptr<lab::LocalFleet> fleet;
};

TEST(FlightNode, FaultyTrafficIsReproducedAndTracedByRequest) {
  RecordingFleet r("");
  EXPECT_GT(r.SendRequests(60), 40);
  r.fleet->StopAndReadLedger();  // stops the node gracefully
  const std::string output = r.Command("verify");
  EXPECT_NE(output.find("1 starts"), std::string::npos) << output;
  EXPECT_EQ(output.find("failed"), std::string::npos) << output;
  EXPECT_EQ(output.find("lost"), std::string::npos) << output;
  const std::string shown = r.Command("show --records");
  EXPECT_NE(shown.find(" error after "), std::string::npos);
  EXPECT_NE(shown.find("-> send "), std::string::npos);
  const std::size_t at = shown.find(" request ");
  const std::string id = shown.substr(at + 9, shown.find(' ', at + 9) - at - 9);
  const std::string why = r.Command("why " + id);
  EXPECT_NE(why.find("sent to stand-in-"), std::string::npos) << why;
  EXPECT_NE(why.find("most spare capacity"), std::string::npos) << why;
  EXPECT_LT(why.size(), shown.size() / 10);
}

TEST(FlightNode, CompleteBlocksAreReproducedAfterAKill) {
  RecordingFleet r("block_within = \"50ms\"\n");
  r.SendRequests(30);
  r.fleet->node().Signal(SIGKILL);
  EXPECT_TRUE(r.fleet->Until([&] { return !r.fleet->node().IsRunning(); }, 10'000'000));
  const std::string output = r.Command("verify");
  EXPECT_EQ(output.find("failed"), std::string::npos) << output;
  EXPECT_NE(output.find("decisions reproduced"), std::string::npos);
}

// Guards against a block that begins with a decision and its reasons and is not written until another record
// follows.
TEST(FlightNode, AnIdleNodeWritesItsBlockWithinTheInterval) {
  RecordingFleet r("block_within = \"50ms\"\nreasons = true\n");
  r.fleet->Until([] { return false; }, 1'500'000);  // until the records of the start are written
  EXPECT_EQ(r.SendRequests(1), 1);
  r.fleet->Until([] { return false; }, 2'000'000);
  const std::string shown = r.Command("show --records");  // the node is still running
  EXPECT_NE(shown.find(" served after "), std::string::npos) << shown;
}

TEST(FlightNode, AFailingDiskLosesRecordsButNoRequests) {
  RecordingFleet r("block_within = \"50ms\"\n", "/proc/nowhere");
  EXPECT_GT(r.SendRequests(30), 20);
  EXPECT_TRUE(r.fleet->Until(
      [&] { return r.fleet->node().Log().find("flight-not-written") != std::string::npos; }, 10'000'000));
  EXPECT_EQ(r.fleet->node().Stop(), 0);
}

TEST(FlightNode, FilesStayWithinTheirBound) {
  RecordingFleet r("block = \"4KiB\"\nblock_within = \"50ms\"\nsegment = \"64KiB\"\ntotal = \"256KiB\"\n");
  std::uintmax_t max_total = 0;
  for (int round = 0; round < 6; ++round) {
    r.SendRequests(60);
    std::uintmax_t total = 0;
    for (const auto& e : std::filesystem::directory_iterator(r.fleet->node().directory())) {
      if (e.path().extension() == ".flight") total += e.file_size();
    }
    max_total = std::max(max_total, total);
  }
  EXPECT_GT(max_total, 0U);
  EXPECT_LE(max_total, (256U + 64U) * 1024);
}

}  // namespace
}  // namespace ryeglade::timeline
