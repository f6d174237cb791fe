// Replica timelines, anomalies, coalesced decisions, merged records and request traces, tested on fault
// scenarios in virtual time. Guards against wrong states, missed or false anomalies, and records that exceed
// their byte budget.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <string>
#include <vector>

#include "lab/fault_scenarios.h"
#include "lab/live_fault_scenario.h"
#include "shell.h"
#include "timeline/anomaly_model.h"
#include "timeline/coalescing_model.h"
#include "timeline/export_model.h"
#include "timeline/flight_record_text_model.h"
#include "timeline/merge_model.h"
#include "timeline/plot_model.h"
#include "timeline/reader.h"
#include "timeline/record_loader.h"
#include "timeline/replica_timeline_model.h"
#include "timeline/request_trace_model.h"
#include "timeline/verify.h"

namespace ryeglade::timeline {
namespace {

using lab::FaultScenarioOptions;
using lab::FaultScenarioResult;
using lab::ScriptedFault;
using namespace policy;
using test::Shell;

constexpr Time kSec = 1'000'000;

// A fault scenario, with its records and what was made of them.
struct PlayedScenario {
  FaultScenarioResult result;
  std::vector<Record> records;
  std::vector<Anomaly> anomalies;
  ReplicaTimelines timelines;
};

PlayedScenario Play(FaultScenarioOptions o) {
  PlayedScenario p;
  AnomalyDetector detector([&](const Anomaly& anomaly) { p.anomalies.push_back(anomaly); });
  p.result = lab::PlayFaultScenario(o, [&](const Record& r) {
    p.records.push_back(r);
    detector.OnRecord(r);
    p.timelines.AddRecord(r);
  });
  detector.Close();
  p.timelines.Close();
  return p;
}

// Returns a scenario of 180 s of virtual time, with the fault from 90 s to 110 s.
FaultScenarioOptions ShortScenario(ScriptedFault fault, std::uint64_t seed = 5) {
  FaultScenarioOptions o;
  o.seed = seed;
  o.seconds = 180;
  o.fault_at = 90;
  o.fault_seconds = 20;
  o.fault = fault;
  return o;
}

const ReplicaTimeline& TimelineOf(const ReplicaTimelines& timelines, ReplicaId id) {
  return timelines.replicas().at(id);
}

// Returns kUnlisted for a time before the replica was first listed.
ReplicaState StateAt(const ReplicaTimelines& timelines, ReplicaId id, Time at) {
  const StateSpan* s = ReplicaTimelines::SpanAt(TimelineOf(timelines, id), at);
  return s == nullptr ? ReplicaState::kUnlisted : s->state;
}

// ---- Fault scenarios ----

TEST(FaultScenario, TheSeedDeterminesTheRecord) {
  FaultScenarioOptions o = ShortScenario(ScriptedFault::kErrors);
  o.seconds = 20;
  o.fault_at = 5;
  const std::string a = lab::EncodeFaultScenario(o);
  EXPECT_EQ(a, lab::EncodeFaultScenario(o));
  o.seed = 6;
  EXPECT_NE(a, lab::EncodeFaultScenario(o));
}

TEST(FaultScenario, EveryScenarioIsReproduced) {
  for (int n = 0; n < static_cast<int>(ScriptedFault::kCount); ++n) {
    FaultScenarioOptions o = ShortScenario(static_cast<ScriptedFault>(n));
    o.seconds = 60;
    o.fault_at = 20;
    std::vector<Record> records;
    Decode(lab::EncodeFaultScenario(o), records);
    Verifier v;
    for (const Record& r : records) v.AddRecord(r);
    EXPECT_TRUE(v.good()) << Name(o.fault) << v.first_difference();
    EXPECT_GT(v.decisions(), 5000U);
  }
}

// Encodes and decodes a record of every kind and compares the bytes.
TEST(Records, EveryKindIsDecodedAsItWasEncoded) {
  FaultScenarioOptions o = ShortScenario(ScriptedFault::kDark);
  o.seconds = 130;
  std::vector<Record> records;
  std::string bytes;
  std::set<std::size_t> kinds;
  lab::PlayFaultScenario(o, [&](const Record& r) {
    records.push_back(r);
    kinds.insert(r.index());
    EncodeRecord(r, bytes);
  });
  const std::vector<Record> more = {
      Gap{7}, CoalescedDecisions{1, 2, 3, 4, 5, 6, 7, 8, {1, 2, 3, 4, 5, 6, 7, 8}, {{9, 1, 2, 3}}, 4},
      Anomaly{.now = 5,
              .number = 6,
              .begins = false,
              .kind = AnomalyKind::kTrafficShare,
              .replica = 7,
              .since = 3,
              .baseline = 1.5},
      ClusterEventRecord{8, "member-dead", "n1", "n2", 9, 3},
      Decision{9, policy::NodeCountChanged{12}, {policy::FailRequest{4}}}};
  for (const Record& r : more) {
    records.push_back(r);
    kinds.insert(r.index());
    EncodeRecord(r, bytes);
  }
  EXPECT_EQ(kinds.size(), std::variant_size_v<Record>);
  std::vector<Record> read;
  Decode(bytes, read);
  ASSERT_EQ(read.size(), records.size());
  for (std::size_t i = 0; i < read.size(); ++i) {
    std::string a, b;
    EncodeRecord(records[i], a);
    EncodeRecord(read[i], b);
    ASSERT_EQ(a, b) << i;
    ASSERT_FALSE(ToText(read[i]).empty());
  }
}

// ---- States ----

TEST(ReplicaTimelines, AnUnavailableListMakesStatesUnknown) {
  const PlayedScenario p = Play(ShortScenario(ScriptedFault::kDark));
  const Time middle = p.result.from + 10 * kSec, after = p.result.to + 5 * kSec;
  std::size_t gone = 0, ready = 0, started_during_fault = 0;
  for (const auto& [id, replica] : p.timelines.replicas()) {
    if (StateAt(p.timelines, id, p.result.from - kSec) == ReplicaState::kUnlisted) {
      ++started_during_fault;  // started while the endpoint list was unavailable
      EXPECT_EQ(StateAt(p.timelines, id, middle), ReplicaState::kUnlisted) << replica.Title();
      EXPECT_EQ(StateAt(p.timelines, id, after), ReplicaState::kReady);
      continue;
    }
    EXPECT_EQ(StateAt(p.timelines, id, p.result.from - kSec), ReplicaState::kReady);
    const StateSpan* s = ReplicaTimelines::SpanAt(replica, middle);
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->state, ReplicaState::kUnknown);
    EXPECT_EQ(s->last_known, ReplicaState::kReady);
    EXPECT_EQ(s->from, p.result.from);
    EXPECT_NE(s->reason.find("endpoint list unavailable"), std::string::npos);
    (StateAt(p.timelines, id, after) == ReplicaState::kGone ? gone : ready) += 1;
  }
  EXPECT_EQ(gone, 6U);
  EXPECT_EQ(ready, 6U);
  EXPECT_EQ(started_during_fault, 6U);
}

TEST(ReplicaTimelines, ACachedListLeavesStatesUnknown) {
  ReplicaTimelines timelines;
  timelines.AddRecord(Start{kFormat, "n", "", 1, 100 * kSec});
  Endpoint e;
  e.id = 4;
  timelines.AddRecord(Decision{101 * kSec, EndpointList{EndpointListScope::kCached, 1, {e}}, {}});
  EXPECT_EQ(StateAt(timelines, 4, 102 * kSec), ReplicaState::kUnknown);
  EXPECT_EQ(ReplicaTimelines::SpanAt(TimelineOf(timelines, 4), 102 * kSec)->last_known, ReplicaState::kReady);
  timelines.AddRecord(Decision{103 * kSec, EndpointList{EndpointListScope::kFull, 2, {e}}, {}});
  EXPECT_EQ(StateAt(timelines, 4, 104 * kSec), ReplicaState::kReady);
}

TEST(ReplicaTimelines, AGapIsAnnotatedAndMakesStatesUnknown) {
  PlayedScenario p = Play(ShortScenario(ScriptedFault::kNone));
  ReplicaTimelines timelines;
  std::size_t n = 0;
  Time gap_at = 0;
  for (const Record& r : p.records) {
    if (++n == p.records.size() / 2) {
      timelines.AddRecord(Gap{40});
      gap_at = timelines.end();
    }
    if (std::holds_alternative<EndpointRecord>(r) || std::holds_alternative<EndpointListRecord>(r)) continue;
    if (const auto* d = std::get_if<Decision>(&r);
        d != nullptr && gap_at != 0 && std::holds_alternative<EndpointList>(d->event))
      continue;
    timelines.AddRecord(r);
  }
  timelines.Close();
  for (const auto& [id, replica] : timelines.replicas())
    EXPECT_EQ(StateAt(timelines, id, gap_at + 5 * kSec), ReplicaState::kUnknown);
  bool annotated = false;
  for (const Annotation& m : timelines.annotations())
    annotated = annotated || m.text.find("40 records") != std::string::npos;
  EXPECT_TRUE(annotated);
  // The state is known again once the endpoint record is repeated.
  timelines.AddRecord(EndpointRecord{timelines.end() + kSec, 0x1001, "replica-001", "a:1", 0,
                                     EndpointState::kDraining, true});
  EXPECT_EQ(TimelineOf(timelines, 0x1001).spans.back().state, ReplicaState::kDraining);
}

TEST(ReplicaTimelines, AReplicaThatReportedNothingHasNoLoad) {
  PlayedScenario p = Play(ShortScenario(ScriptedFault::kCutOff));
  ReplicaTimelines timelines;
  for (Record r : p.records) {
    if (auto* d = std::get_if<Decision>(&r)) {
      if (auto* e = std::get_if<AttemptEnded>(&d->event)) e->load_report.clear();
    }
    timelines.AddRecord(r);
  }
  timelines.Close();
  for (const auto& [id, replica] : timelines.replicas()) {
    for (const auto& [n, b] : replica.bins) EXPECT_LT(b.load, 0);
  }
  for (const TextTable& s : TimelineTables(timelines)) {
    if (s.name != "bins") continue;
    for (const Column& c : s.columns) {
      if (c.name != "load") continue;
      for (const double v : std::get<std::vector<double>>(c.values)) EXPECT_TRUE(std::isnan(v));
    }
  }
}

TEST(ReplicaTimelines, AClockThatStepsBackShiftsTimesAndIsAnnotated) {
  ReplicaTimelines timelines;
  Endpoint e;
  e.id = 4;
  timelines.AddRecord(Start{kFormat, "n", "", 1, 1000 * kSec});
  timelines.AddRecord(Decision{1010 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
  timelines.AddRecord(Start{kFormat, "n", "", 1, 400 * kSec});  // restarted with another clock
  timelines.AddRecord(Decision{405 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
  timelines.AddRecord(Decision{420 * kSec, RequestArrived{1}, {SendAttempt{1, 4, 0}}});
  timelines.Close();
  EXPECT_EQ(timelines.end(), 1030 * kSec);
  EXPECT_LT(timelines.bins(), 40U);
  ASSERT_EQ(timelines.annotations().size(), 3U);
  EXPECT_NE(timelines.annotations()[1].text.find("stepped back by 610.0 s"), std::string::npos);
  // Between the second start and its first list.
  EXPECT_EQ(StateAt(timelines, 4, 1012 * kSec), ReplicaState::kUnknown);
  EXPECT_EQ(StateAt(timelines, 4, 1020 * kSec), ReplicaState::kReady);
}

TEST(ReplicaTimelines, AChangedAddressIsAnnotated) {
  ReplicaTimelines timelines;
  timelines.AddRecord(Start{kFormat, "n", "", 1, kSec});
  timelines.AddRecord(EndpointRecord{2 * kSec, 4, "a", "10.0.0.1:1", 0, EndpointState::kReady, false});
  timelines.AddRecord(EndpointRecord{9 * kSec, 4, "a", "10.0.0.2:1", 0, EndpointState::kReady, false});
  ASSERT_EQ(TimelineOf(timelines, 4).annotations.size(), 1U);
  EXPECT_EQ(TimelineOf(timelines, 4).annotations[0].text, "moved from 10.0.0.1:1 to 10.0.0.2:1");
}

// For any length of the record and any number of replicas, memory is bounded and the sums count every attempt
// sent.
RC_GTEST_PROP(TimelinesProperty, MergedBinsKeepTheSums, ()) {
  ReplicaTimelineOptions o;
  o.max_bins = 8;
  o.max_replicas = 3;
  o.max_items = 4;
  ReplicaTimelines timelines(o);
  Time now = kSec;
  timelines.AddRecord(Start{kFormat, "n", "", 1, now});
  std::uint64_t sent = 0;
  for (const int gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000'000))) {
    now += gap;
    const auto id = static_cast<ReplicaId>(gap % 3);
    const auto phase = static_cast<EndpointState>(gap % 3);
    Endpoint e;
    e.id = id;
    e.state = phase;
    if (gap % 5 == 0) timelines.AddRecord(Decision{now, EndpointList{EndpointListScope::kDelta, 1, {e}}, {}});
    timelines.AddRecord(Decision{now, RequestArrived{1}, {SendAttempt{1, id, 0}}});
    ++sent;
  }
  timelines.Close();
  RC_ASSERT(timelines.bins() <= o.max_bins);
  std::uint64_t counted = 0, fleet = 0;
  for (const auto& [id, replica] : timelines.replicas()) {
    RC_ASSERT(replica.spans.size() <= o.max_items);
    for (std::size_t i = 1; i < replica.spans.size(); ++i)
      RC_ASSERT(replica.spans[i - 1].to == replica.spans[i].from);
    for (const auto& [n, b] : replica.bins) counted += b.sent;
  }
  for (const auto& [n, f] : timelines.fleet()) fleet += f.sent;
  RC_ASSERT(counted == sent);
  RC_ASSERT(fleet == sent);
}

// ---- Anomalies ----

// The anomaly that a fault must cause.
struct ExpectedAnomaly {
  ScriptedFault fault;
  AnomalyKind kind;
  bool fleet;
};

TEST(Anomaly, EachFaultIsDetectedAndEnds) {
  for (const ExpectedAnomaly e :
       {ExpectedAnomaly{ScriptedFault::kErrors, AnomalyKind::kErrors, false},
        ExpectedAnomaly{ScriptedFault::kSlow, AnomalyKind::kFirstToken, false},
        ExpectedAnomaly{ScriptedFault::kFull, AnomalyKind::kRejections, false},
        ExpectedAnomaly{ScriptedFault::kLoaded, AnomalyKind::kLoad, false},
        ExpectedAnomaly{ScriptedFault::kFleetErrors, AnomalyKind::kErrors, true},
        ExpectedAnomaly{ScriptedFault::kFleetSlow, AnomalyKind::kFirstToken, true},
        ExpectedAnomaly{ScriptedFault::kDark, AnomalyKind::kEndpointListUnavailable, true}}) {
    FaultScenarioOptions o = ShortScenario(e.fault);
    o.seconds = 240;
    o.fault_at = 120;
    o.fault_seconds = 30;
    const PlayedScenario p = Play(o);
    const Anomaly* begins = nullptr;
    bool ends = false;
    for (const Anomaly& anomaly : p.anomalies) {
      if (anomaly.kind != e.kind || anomaly.fleet != e.fleet ||
          (!e.fleet && anomaly.replica != p.result.victim))
        continue;
      if (anomaly.begins && begins == nullptr && anomaly.now >= p.result.from && anomaly.now <= p.result.to)
        begins = &anomaly;
      ends = ends || (begins != nullptr && !anomaly.begins && anomaly.number == begins->number &&
                      anomaly.now > p.result.from);
    }
    ASSERT_NE(begins, nullptr) << Name(e.fault);
    EXPECT_TRUE(ends) << Name(e.fault);
    if (e.kind != AnomalyKind::kEndpointListUnavailable) {
      EXPECT_GT(begins->during, begins->baseline) << Name(e.fault);
    }
  }
}

// A change of the whole fleet is one anomaly rather than one per replica.
TEST(Anomaly, AChangeOfAllReplicasIsOneFleetAnomaly) {
  for (const ScriptedFault fault : {ScriptedFault::kFleetErrors, ScriptedFault::kFleetSlow}) {
    FaultScenarioOptions o = ShortScenario(fault);
    o.replicas = 20;
    o.requests_per_second = 100;
    const PlayedScenario p = Play(o);
    const AnomalyKind kind =
        fault == ScriptedFault::kFleetErrors ? AnomalyKind::kErrors : AnomalyKind::kFirstToken;
    int fleet = 0, single = 0;
    for (const Anomaly& anomaly : p.anomalies) {
      if (!anomaly.begins || anomaly.kind != kind || anomaly.now < p.result.from ||
          anomaly.now > p.result.to + 10 * kSec)
        continue;
      (anomaly.fleet ? fleet : single) += 1;
    }
    EXPECT_EQ(fleet, 1) << Name(fault);
    EXPECT_LE(single, 1) << Name(fault);
  }
}

TEST(Anomaly, OneSecondOfErrorsIsNoAnomaly) {
  const PlayedScenario calm = Play(ShortScenario(ScriptedFault::kNone));
  std::vector<Anomaly> events;
  AnomalyDetector detector([&](const Anomaly& anomaly) { events.push_back(anomaly); });
  for (const Record& r : calm.records) {
    if (const auto* d = std::get_if<Decision>(&r);
        d != nullptr && d->now / kSec == (calm.timelines.begin() + 100 * kSec) / kSec) {
      if (const auto* e = std::get_if<AttemptEnded>(&d->event); e != nullptr && e->replica == 0x1003) {
        AttemptEnded bad = *e;
        bad.outcome = Outcome::kReset;
        detector.OnDecision(d->now, bad, d->actions);
        continue;
      }
    }
    detector.OnRecord(r);
  }
  for (const Anomaly& anomaly : events) EXPECT_NE(anomaly.kind, AnomalyKind::kErrors) << ToText(anomaly);
}

TEST(Anomaly, RefusedConnectsContradictTheEndpointList) {
  std::vector<Anomaly> events;
  AnomalyDetector detector([&](const Anomaly& anomaly) { events.push_back(anomaly); });
  Endpoint e;
  e.id = 9;
  Time now = 100 * kSec;
  detector.OnDecision(now, EndpointList{EndpointListScope::kFull, 1, {e}}, {});
  for (RequestId id = 1; id < 12; ++id) {
    now += 400'000;
    detector.OnDecision(now, AttemptEnded{id, 0, 9, Outcome::kConnectFailed, 100, false, 0, {}}, {});
  }
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, AnomalyKind::kEndpointListContradicted);
  EXPECT_EQ(events[0].replica, 9U);
  detector.OnDecision(now += kSec, AttemptEnded{20, 0, 9, Outcome::kServed, 100, true, 0, {}}, {});
  detector.OnDecision(now += 2 * kSec, TimerFired{1}, {});
  ASSERT_EQ(events.size(), 2U);
  EXPECT_FALSE(events[1].begins);
  EXPECT_EQ(detector.open_anomalies(), 0U);
}

TEST(Anomaly, ACachedListBecomesStale) {
  std::vector<Anomaly> events;
  AnomalyDetector detector([&](const Anomaly& anomaly) { events.push_back(anomaly); });
  Endpoint e;
  e.id = 9;
  detector.OnDecision(100 * kSec, EndpointList{EndpointListScope::kCached, 0, {e}}, {});
  detector.OnDecision(104 * kSec, TimerFired{1}, {});
  EXPECT_TRUE(events.empty());
  detector.OnDecision(107 * kSec, TimerFired{2}, {});
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, AnomalyKind::kEndpointListStale);
  detector.OnDecision(108 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {});
  ASSERT_EQ(events.size(), 2U);
  EXPECT_FALSE(events[1].begins);
}

// For any sequence of events, each anomaly that begins ends at most once, and memory is bounded.
RC_GTEST_PROP(AnomalyProperty, EachAnomalyEndsOnce, ()) {
  std::map<std::uint64_t, int> open;
  AnomalyOptions o;
  o.max_replicas = 5;
  AnomalyDetector detector(
      [&](const Anomaly& anomaly) {
        if (anomaly.begins) {
          RC_ASSERT(open[anomaly.number] == 0);
          open[anomaly.number] = 1;
        } else {
          RC_ASSERT(open[anomaly.number] == 1);
          open[anomaly.number] = 2;
        }
      },
      o);
  Time now = kSec;
  for (const int x : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 1'000'000))) {
    now += (x % 7) * 300'000 - 100'000;
    const auto id = static_cast<ReplicaId>(x / 7 % 8);
    Endpoint e;
    e.id = id;
    e.state = static_cast<EndpointState>(x / 56 % 3);
    if (x % 11 == 0) detector.OnEndpointList(now, "watch", x % 2 == 0 ? "silent" : "");
    if (x % 5 == 0)
      detector.OnDecision(now, EndpointList{static_cast<EndpointListScope>(x / 5 % 4), 1, {e}}, {});
    detector.OnDecision(
        now, AttemptEnded{1, 0, id, static_cast<Outcome>(x % 8), 5, false, 0, {static_cast<double>(x % 100)}},
        {});
    detector.OnDecision(now, ResponseStarted{1, 0, id, x}, {SendAttempt{1, id, 0}});
  }
  detector.Close();
  RC_ASSERT(detector.open_anomalies() <= 2U);  // those of the endpoint list may stay open
}

// ---- Coalesced decisions ----

TEST(Coalescing, TenThousandFailuresPerSecondStayWithinTheBudgetAndAreCounted) {
  const std::size_t rate = std::size_t{256} * 1024;
  RecordBudget budget(rate);
  Coalescer coalescer;
  std::string recorded;
  std::uint64_t decisions = 0, counted = 0, failures = 0;
  Time last = 0;
  std::map<Time, std::size_t> by_second;
  const auto flush = [&] {
    if (const auto coalesced = coalescer.TakeCounted()) {
      const std::size_t before = recorded.size();
      Encode(*coalesced, recorded);
      by_second[last / kSec] += recorded.size() - before;
      counted += coalesced->decisions;
      EXPECT_LE(coalesced->replicas.size(), Coalescer::kMaxReplicas);
      EXPECT_GE(coalesced->last, coalesced->first);
      failures += coalesced->outcomes[static_cast<std::size_t>(Outcome::kReset)];
    }
  };
  std::uint64_t total = 0;
  const auto handle = [&](Time now, const Event& event, const std::vector<Action>& actions) {
    ++total;
    last = now;
    if (!budget.MayKeep(now)) {
      coalescer.Count(now, event, actions);
      if (coalescer.Due(now)) flush();
      return;
    }
    flush();
    const std::size_t before = recorded.size();
    Encode(now, event, actions, recorded);
    budget.Spend(recorded.size() - before);
    by_second[now / kSec] += recorded.size() - before;
    ++decisions;
  };
  // Five seconds with 10,000 failures each, at 200 replicas, each followed by another attempt or a rejection.
  Time now = 100 * kSec;
  for (RequestId id = 1; id <= 50'000; ++id) {
    now += 100;
    const auto replica = static_cast<ReplicaId>(id % 200);
    const Action next =
        id % 3 == 0 ? Action(RejectRequest{id, kSec}) : Action(SendAttempt{id, replica + 1, 0});
    handle(now, RequestArrived{id}, {SendAttempt{id, replica, 0}});
    handle(now, AttemptEnded{id, 0, replica, Outcome::kReset, 300, false, 0, {}}, {next});
  }
  flush();
  EXPECT_EQ(decisions + counted, total);
  EXPECT_GT(counted, 50'000U);
  EXPECT_GT(failures, 20'000U);
  for (const auto& [second, bytes] : by_second) EXPECT_LE(bytes, 2 * rate + 4096) << second;
  std::vector<Record> records;
  Decode(recorded, records);
  ReplicaTimelines timelines;
  timelines.AddRecord(Start{kFormat, "n", "", 1, 0});
  for (const Record& r : records) timelines.AddRecord(r);
  std::uint64_t shown = 0;
  for (const auto& [n, f] : timelines.fleet()) shown += f.coalesced;
  EXPECT_EQ(shown, counted);  // every coalesced decision is in the timelines
}

// ---- Merging ----

TEST(TimelineMerge, NodesWithDifferentClocksGiveOneTimelinePerReplica) {
  FaultScenarioOptions a = ShortScenario(ScriptedFault::kSlow), b = a;
  b.node = "n1";
  b.clock_offset = 3 * kSec;
  b.seed = a.seed + 12;  // selects the same victim, as there are 12 replicas
  std::vector<ReplicaTimelines> nodes;
  nodes.push_back(Play(a).timelines);
  nodes.push_back(Play(b).timelines);
  const TimelineMerge merge(nodes);
  ASSERT_EQ(merge.nodes().size(), 2U);
  EXPECT_EQ(merge.nodes()[1].offset, -3 * kSec);
  EXPECT_GE(merge.nodes()[1].common_generations, 4U);
  EXPECT_EQ(merge.timelines().replicas().size(), 12U);
  EXPECT_TRUE(merge.disagreements().empty());
  std::uint64_t parts = 0, joined = 0;
  for (const ReplicaTimelines& n : nodes) {
    for (const auto& [id, replica] : n.replicas()) {
      for (const auto& [k, bin] : replica.bins) parts += bin.sent;
    }
  }
  for (const auto& [id, replica] : merge.timelines().replicas()) {
    for (const auto& [k, bin] : replica.bins) joined += bin.sent;
  }
  EXPECT_EQ(parts, joined);
}

TEST(TimelineMerge, KnownStatesPrevailAndDisagreementsAreReported) {
  const auto node = [](const char* name, bool dark, bool draining) {
    ReplicaTimelines timelines;
    Endpoint e;
    e.id = 4;
    timelines.AddRecord(Start{kFormat, name, "", 1, 100 * kSec});
    timelines.AddRecord(Decision{101 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
    if (dark) timelines.AddRecord(EndpointListRecord{110 * kSec, "watch", 1, "silent", false});
    if (draining) {
      e.state = EndpointState::kDraining;
      timelines.AddRecord(Decision{110 * kSec, EndpointList{EndpointListScope::kDelta, 2, {e}}, {}});
    }
    timelines.AddRecord(Decision{130 * kSec, TimerFired{1}, {}});
    timelines.Close();
    return timelines;
  };
  const TimelineMerge dark({node("a", true, false), node("b", false, false)});
  EXPECT_EQ(StateAt(dark.timelines(), 4, 120 * kSec), ReplicaState::kReady);
  EXPECT_TRUE(dark.disagreements().empty());
  const TimelineMerge differ({node("a", false, true), node("b", false, false)});
  EXPECT_EQ(StateAt(differ.timelines(), 4, 120 * kSec), ReplicaState::kDraining);
  ASSERT_EQ(differ.disagreements().size(), 1U);
  EXPECT_EQ(differ.disagreements()[0].from, 110 * kSec);
  const TimelineMerge both({node("a", true, false), node("b", true, false)});
  EXPECT_EQ(StateAt(both.timelines(), 4, 120 * kSec), ReplicaState::kUnknown);
}

// Two nodes may use the same id for different replicas. Each anomaly must stay with its own replica.
TEST(TimelineMerge, ReplicasWithTheSameIdKeepTheirAnomalies) {
  const auto node = [](const char* name, const char* replica) {
    ReplicaTimelines timelines;
    timelines.AddRecord(Start{kFormat, name, "", 1, 100 * kSec});
    timelines.AddRecord(EndpointRecord{101 * kSec, 4, replica, "a:1", 0, EndpointState::kReady, false});
    timelines.AddRecord(Anomaly{.now = 105 * kSec, .number = 1, .kind = AnomalyKind::kErrors, .replica = 4});
    timelines.Close();
    return timelines;
  };
  const TimelineMerge merge({node("a", "left"), node("b", "right")});
  std::set<std::string> named;
  for (const Anomaly& anomaly : merge.timelines().anomalies())
    named.insert(merge.timelines().ReplicaTitle(anomaly.replica));
  EXPECT_EQ(named, (std::set<std::string>{"left", "right"}));
}

// ---- Request traces ----

TEST(RequestTrace, ShowsAttemptsReasonsAndConclusion) {
  FaultScenarioOptions o = ShortScenario(ScriptedFault::kErrors);
  const PlayedScenario p = Play(o);
  // The id of a request with an attempt that failed at the faulty replica.
  RequestId id = 0;
  for (const Record& r : p.records) {
    const auto* d = std::get_if<Decision>(&r);
    const auto* e = d == nullptr ? nullptr : std::get_if<AttemptEnded>(&d->event);
    if (e != nullptr && e->outcome == Outcome::kError && e->replica == p.result.victim) id = e->id;
  }
  ASSERT_NE(id, 0U);
  for (const std::string& name : {"call-" + std::to_string(id), "req_call-" + std::to_string(id)}) {
    RequestTrace trace(name);
    for (const Record& r : p.records) trace.AddRecord(r);
    EXPECT_EQ(trace.found(), 1U);
    std::string all;
    for (const std::string& line : trace.Lines()) all += line + "\n";
    EXPECT_NE(all.find("arrives"), std::string::npos) << all;
    EXPECT_NE(all.find("most spare capacity"), std::string::npos) << all;
    EXPECT_NE(all.find("ends: error"), std::string::npos) << all;
    EXPECT_TRUE(all.find("served") != std::string::npos || all.find("rejected") != std::string::npos) << all;
    EXPECT_NE(all.find("ready for"), std::string::npos) << all;
  }
  RequestTrace unknown("call-0");
  for (const Record& r : p.records) unknown.AddRecord(r);
  EXPECT_EQ(unknown.found(), 0U);
}

// The reasons determined by a replay equal those that the node records itself.
TEST(RequestTrace, AReplayDeterminesReasonsThatWereNotRecorded) {
  const std::string path =
      std::filesystem::temp_directory_path().string() + "/ryeglade-reasons-" + std::to_string(getpid());
  std::filesystem::create_directories(path);
  FaultScenarioOptions o = ShortScenario(ScriptedFault::kCutOff);
  o.seconds = 120;
  std::vector<std::string> reasons[2];
  for (const bool recorded : {true, false}) {
    o.record_reasons = recorded;
    const std::string file = path + "/" + (recorded ? "with" : "without") + ".flight";
    lab::WriteFaultScenario(o, file);
    ReadWithReasons({file}, [&](const Record& r) {
      if (std::holds_alternative<ReasonRecord>(r)) reasons[recorded ? 0 : 1].push_back(ToText(r));
    });
  }
  std::filesystem::remove_all(path);
  EXPECT_GT(reasons[0].size(), 1000U);
  EXPECT_EQ(reasons[0], reasons[1]);
}

// ---- Tables and plots ----

TEST(Export, EveryTableIsRectangularAndCsvHasItsRows) {
  const PlayedScenario p = Play(ShortScenario(ScriptedFault::kDark));
  ReplicaTimelines timelines = p.timelines;
  for (const Anomaly& anomaly : p.anomalies) timelines.AddRecord(anomaly);
  std::set<std::string> names;
  for (const TextTable& s : TimelineTables(timelines)) {
    names.insert(s.name);
    for (const Column& c : s.columns)
      EXPECT_EQ(std::visit([](const auto& v) { return v.size(); }, c.values), s.rows()) << s.name << c.name;
    const std::string csv = Csv(s);
    EXPECT_EQ(static_cast<std::size_t>(std::count(csv.begin(), csv.end(), '\n')), s.rows() + 1);
  }
  EXPECT_EQ(names, (std::set<std::string>{"bins", "fleet", "states", "rests", "events", "marks"}));
}

TEST(Plot, ScriptsAreBoundedAndNamesAreEscaped) {
  FaultScenarioOptions o = ShortScenario(ScriptedFault::kErrors);
  for (const int replicas : {3, 200}) {
    o.replicas = replicas;
    ReplicaTimelines timelines = Play(o).timelines;
    timelines.AddRecord(
        EndpointRecord{timelines.end(), 0x1001, "na\"me`date`\\", "a:1", 0, EndpointState::kReady, false});
    const std::string script = TimelinePlotScript(timelines, {"x.svg", "a \"title\"", 1400});
    EXPECT_NE(script.find("set terminal svg"), std::string::npos);
    EXPECT_EQ(script.find('`'), std::string::npos);
    EXPECT_NE(script.find("na'me'date''"), std::string::npos);
    EXPECT_LT(script.size(), 4U * 1024 * 1024);
  }
  EXPECT_THROW(TimelinePlotScript(ReplicaTimelines(), {"x.gif", "", 1400}), std::runtime_error);
}

// ---- A node as a process ----

class LiveFaultScenarioTest : public testing::TestWithParam<std::string> {};

TEST_P(LiveFaultScenarioTest, IsRecordedAndReproduced) {
  const std::string program = std::getenv("RYEGLADE_PROGRAM");
  std::string directory = std::filesystem::temp_directory_path().string() + "/ryeglade-bad-XXXXXX";
  ASSERT_NE(mkdtemp(directory.data()), nullptr);
  lab::LiveFaultScenarioOptions o;
  o.program = program;
  o.name = GetParam();
  o.record = directory;
  o.seconds = 18;
  o.requests_per_second = 40;
  const lab::LiveFaultScenarioResult r = lab::PlayLiveFaultScenario(o);
  EXPECT_EQ(r.exit_code, 0) << r.log;
  EXPECT_EQ(r.answered, r.asked);
  EXPECT_EQ(r.overlapping_attempts, 0U);
  const std::string timeline = program + " timeline ";
  const std::string verified = Shell(timeline + "verify " + directory);
  EXPECT_EQ(verified.find("failed: "), std::string::npos) << verified;
  EXPECT_NE(verified.find(" 0 could not be compared"), std::string::npos) << verified;
  const std::string all = Shell(timeline + "show " + directory);
  EXPECT_NE(all.find("stand-in-5"), std::string::npos) << all;
  const std::string replica = Shell(timeline + "show --replica stand-in-0 " + directory);
  const std::map<std::string, std::string> expected = {
      {"dark", "unknown for "},      {"slow", "first ms"}, {"erroring", "error"},
      {"cut-off", "connect-failed"}, {"replaced", "gone"}, {"drained", "draining for "}};
  EXPECT_NE(replica.find(expected.at(o.name)), std::string::npos) << replica;
  if (o.name == "dark") {
    EXPECT_NE(replica.find("last known ready"), std::string::npos) << replica;
    EXPECT_NE(Shell(timeline + "events " + directory).find("roster-dark"), std::string::npos);
  }
  std::filesystem::remove_all(directory);
}

INSTANTIATE_TEST_SUITE_P(All, LiveFaultScenarioTest, testing::ValuesIn(lab::LiveFaultScenarioNames()),
                         [](const auto& named) {
                           std::string name = named.param;
                           std::erase(name, '-');
                           return name;
                         });

TEST(RingNode, TheRingIsWrittenOnASignal) {
  std::string directory = std::filesystem::temp_directory_path().string() + "/ryeglade-ring-XXXXXX";
  ASSERT_NE(mkdtemp(directory.data()), nullptr);
  lab::LocalFleetOptions o;
  o.program = std::getenv("RYEGLADE_PROGRAM");
  o.replicas.resize(2);
  o.extra_settings =
      "[timeline]\nring = \"64KiB\"\nblock = \"4KiB\"\ndump_directory = \"" + directory + "\"\n";
  lab::LocalFleet fleet(o);
  for (int i = 0; i < 300; ++i) {
    fleet.SendAndWait(
        fleet.openai(),
        lab::Post("/v1/chat/completions", "",
                  R"({"model":"docs-model","max_tokens":2,"messages":[{"role":"user","content":"q)" +
                      std::to_string(i) + "\"}]}"));
  }
  fleet.node().Signal(SIGUSR2);
  EXPECT_TRUE(
      fleet.Until([&] { return fleet.node().Log().find("flight-dumped") != std::string::npos; }, 10'000'000));
  std::uint64_t bytes = 0, decisions = 0;
  std::set<std::string> names;
  const ReadTotals totals = ReadFlight(FlightFiles({directory}), [&](const Record& r) {
    std::string raw;
    EncodeRecord(r, raw);
    bytes += raw.size();
    decisions += std::holds_alternative<Decision>(r) ? 1 : 0;
    if (const auto* m = std::get_if<EndpointRecord>(&r)) names.insert(m->name);
  });
  EXPECT_EQ(totals.Losses(), "");
  EXPECT_GT(decisions, 100U);
  EXPECT_LE(bytes, 64U * 1024 + 4096);
  EXPECT_EQ(fleet.node().Stop(), 0);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace ryeglade::timeline
