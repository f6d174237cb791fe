// The flight record: what is written is what is read, whatever tears it; and a module that decides otherwise
// is found out.
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

// A node's day: arrivals, outcomes of every kind, drains and timers, recorded as they come.
std::string Day(std::uint64_t seed, const std::string& settings = kSettings) {
  std::string out;
  const Time start = 100'000'000;
  Encode(Start{kFormat, "n0", settings, 7, start}, out);
  Router router(wire::ReadSettings(settings), 7, start);
  std::vector<std::pair<Time, std::uint64_t>> timers;
  std::vector<std::pair<RequestId, ReplicaId>> out_now;
  std::vector<int> attempts(2000, 0);
  Time now = start;
  const auto give = [&](const Event& event) {
    std::vector<Action> actions;
    router.Handle(now, event, actions);
    Encode(now, event, actions, out);
    for (const Action& a : actions) {
      if (const auto* send = std::get_if<SendAttempt>(&a)) out_now.emplace_back(send->id, send->replica);
      if (const auto* timer = std::get_if<SetTimer>(&a))
        timers.emplace_back(now + timer->delay, timer->token);
    }
  };
  give(EndpointList{EndpointListScope::kFull, 1, test::ReadyReplicas(4)});
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
      give(TimerFired{token});
    }
    give(RequestArrived{id, 0, 0, id % 7, id % 3, 500, 100, 80, 4'000'000, 0, false, false, false});
    if (id % 50 == 0) {
      Endpoint e = test::Ready(static_cast<ReplicaId>(id / 50 % 4));
      e.state = id % 100 == 0 ? EndpointState::kReady : EndpointState::kDraining;
      give(EndpointList{EndpointListScope::kDelta, static_cast<std::uint32_t>(id), {e}});
    }
    while (out_now.size() > 3) {
      const auto [request, replica] = out_now.front();
      out_now.erase(out_now.begin());
      const auto outcome = static_cast<Outcome>(request % 6);
      int& n = attempts[request];
      if (outcome == Outcome::kServed) give(ResponseStarted{request, n, replica, 100'000});
      give(AttemptEnded{request, n, replica, outcome, 300'000, outcome == Outcome::kServed, 20, {}});
      ++n;
    }
  }
  return out;
}

Verifier Verify(const std::string& bytes) {
  std::vector<Record> records;
  Decode(bytes, records);
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  return v;
}

TEST(Flight, ADayIsReproducedDecisionByDecision) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    const Verifier v = Verify(Day(seed));
    EXPECT_GT(v.decisions(), 600U);
    EXPECT_EQ(v.matched(), v.decisions()) << v.first_difference();
    EXPECT_TRUE(v.good());
  }
}

// The check can fail: a module that had one constant changed is found out.
TEST(Flight, AModuleThatDecidesOtherwiseIsFoundOut) {
  std::string changed = kSettings;
  changed.replace(changed.find("max-attempts=4"), 14, "max-attempts=2");
  std::vector<Record> records;
  Decode(Day(1), records);
  std::get<Start>(records.front()).settings = changed;
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  EXPECT_FALSE(v.good());
  EXPECT_LT(v.matched(), v.decisions());
  EXPECT_NE(v.first_difference().find("recorded:"), std::string::npos);
}

TEST(Flight, BehindAGapNothingIsClaimed) {
  std::vector<Record> records;
  Decode(Day(1), records);
  records.insert(records.begin() + 100, Gap{5});
  Verifier v;
  for (const Record& r : records) v.AddRecord(r);
  EXPECT_EQ(v.decisions(), 99U);
  EXPECT_EQ(v.matched(), 99U);
  EXPECT_GT(v.skipped(), 500U);
}

RC_GTEST_PROP(FlightProperty, AnyBytesAreReadOrRefused, (const std::string& bytes)) {
  std::vector<Record> records;
  try {
    Decode(bytes, records);
  } catch (const std::runtime_error&) {
  }
  for (const Record& r : records) RC_ASSERT(!ToText(r).empty());
}

std::string File(std::vector<std::string>* raws) {
  std::string file = FileHeader();
  for (std::uint64_t n = 0; n < 4; ++n) {
    raws->push_back(Day(n).substr(0, 400 + 300 * n));
    file += MakeBlock(raws->back(), n);
  }
  return file;
}

TEST(Blocks, WhereverItIsTornAllWholeBlocksAreRead) {
  std::vector<std::string> raws;
  const std::string file = File(&raws);
  for (std::size_t cut = FileHeader().size(); cut <= file.size(); ++cut) {
    std::size_t read = 0;
    const ReadReport report =
        ReadBlocks(std::string_view(file).substr(0, cut), [&](std::uint64_t n, std::string_view raw) {
          EXPECT_EQ(raw, raws[n]);
          return ++read > 0;
        });
    std::size_t whole = 0, end = FileHeader().size();
    while (whole < raws.size() && end + MakeBlock(raws[whole], whole).size() <= cut) {
      end += MakeBlock(raws[whole], whole).size();
      ++whole;
    }
    ASSERT_EQ(read, whole) << cut;
    ASSERT_EQ(report.lost_bytes, cut - end) << cut;
  }
}

TEST(Blocks, AnyFlippedBitCostsAtMostItsOwnBlockAndIsTold) {
  std::vector<std::string> raws;
  const std::string file = File(&raws);
  for (std::size_t at = FileHeader().size(); at < file.size(); at += 3) {
    std::string bad = file;
    bad[at] = static_cast<char>(bad[at] ^ (1 << (at % 8)));
    std::size_t read = 0;
    const ReadReport report = ReadBlocks(bad, [&](std::uint64_t n, std::string_view raw) {
      EXPECT_EQ(raw, raws[n]);
      return ++read > 0;
    });
    ASSERT_EQ(read, raws.size() - 1) << at;
    ASSERT_TRUE(report.lost_bytes > 0 && report.lost_ranges == 1);
  }
  EXPECT_THROW(ReadBlocks("", nullptr), std::runtime_error);
  EXPECT_THROW(ReadBlocks("a foreign file", nullptr), std::runtime_error);
  EXPECT_THROW(ReadBlocks("RGFLIGHT\x09", nullptr), std::runtime_error);
}

// ---- A node as a process ----

struct Recorded {
  Recorded(const std::string& more, const std::string& directory = "@DIR@") {
    lab::LocalFleetOptions o;
    o.program = std::getenv("RYEGLADE_PROGRAM");
    o.replicas.resize(3);
    o.more_settings = "[timeline]\ndirectory = \"" + directory + "\"\n" + more;
    fleet = std::make_unique<lab::LocalFleet>(o);
  }
  int Hour(int requests) {
    static const char* kFaults[] = {"none", "reset-once", "error-once", "break", "busy-once", "none"};
    int served = 0;
    for (int i = 0; i < requests; ++i) {
      const lab::Reply r = fleet->Ask(
          fleet->openai(),
          lab::Post("/v1/chat/completions", "",
                    R"({"model":"docs-model","max_tokens":5,"messages":[{"role":"user","content":"q)" +
                        std::to_string(i) + " #fault=" + kFaults[i % 6] + " \"}]}"));
      served += r.status == 200 ? 1 : 0;
    }
    return served;
  }
  std::string Command(const std::string& words) const {
    return Shell(std::string(std::getenv("RYEGLADE_PROGRAM")) + " timeline " + words + " " +
                 fleet->node().directory());
  }
  std::unique_ptr<lab::LocalFleet> fleet;
};

TEST(FlightNode, ABadHourIsReproducedWholeAndToldByRequest) {
  Recorded r("");
  EXPECT_GT(r.Hour(60), 40);
  r.fleet->Ledger();  // ends the node in order
  const std::string said = r.Command("verify");
  EXPECT_NE(said.find("1 starts"), std::string::npos) << said;
  EXPECT_EQ(said.find("failed"), std::string::npos) << said;
  EXPECT_EQ(said.find("lost"), std::string::npos) << said;
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

TEST(FlightNode, AfterAKillAllWholeBlocksAreReproduced) {
  Recorded r("block_within = \"50ms\"\n");
  r.Hour(30);
  r.fleet->node().Signal(SIGKILL);
  EXPECT_TRUE(r.fleet->Until([&] { return !r.fleet->node().Running(); }, 10'000'000));
  const std::string said = r.Command("verify");
  EXPECT_EQ(said.find("failed"), std::string::npos) << said;
  EXPECT_NE(said.find("decisions reproduced"), std::string::npos);
}

// A block that begins with a decision and its reasons is written in time like any other, though nothing
// follows it.
TEST(FlightNode, WhatAQuietNodeDidIsOnDiskWithinTheBlocksTime) {
  Recorded r("block_within = \"50ms\"\nreasons = true\n");
  r.fleet->Until([] { return false; }, 1'500'000);  // what the start wrote is out
  EXPECT_EQ(r.Hour(1), 1);
  r.fleet->Until([] { return false; }, 2'000'000);
  const std::string shown = r.Command("show --records");  // the node still runs
  EXPECT_NE(shown.find(" served after "), std::string::npos) << shown;
}

TEST(FlightNode, ADiskThatTakesNothingCostsRecordsAndNoRequest) {
  Recorded r("block_within = \"50ms\"\n", "/proc/nowhere");
  EXPECT_GT(r.Hour(30), 20);
  EXPECT_TRUE(r.fleet->Until(
      [&] { return r.fleet->node().Log().find("flight-not-written") != std::string::npos; }, 10'000'000));
  EXPECT_EQ(r.fleet->node().Stop(), 0);
}

TEST(FlightNode, FilesStayWithinTheirBound) {
  Recorded r("block = \"4KiB\"\nblock_within = \"50ms\"\nsegment = \"64KiB\"\ntotal = \"256KiB\"\n");
  std::uintmax_t most = 0;
  for (int round = 0; round < 6; ++round) {
    r.Hour(60);
    std::uintmax_t all = 0;
    for (const auto& e : std::filesystem::directory_iterator(r.fleet->node().directory())) {
      if (e.path().extension() == ".flight") all += e.file_size();
    }
    most = std::max(most, all);
  }
  EXPECT_GT(most, 0U);
  EXPECT_LE(most, (256U + 64U) * 1024);
}

}  // namespace
}  // namespace ryeglade::timeline
