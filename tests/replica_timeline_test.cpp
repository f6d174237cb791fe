// ReplicaTimelines, the unusual, bursts, merging and stories, each on scripted hours in virtual time: states
// that lie, events that are missed or made up, records that grow beyond their budget.
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

struct Played {
  FaultScenarioResult result;
  std::vector<Record> records;
  std::vector<Anomaly> unusual;
  ReplicaTimelines lanes;
};

Played Play(FaultScenarioOptions o) {
  Played p;
  AnomalyDetector watch([&](const Anomaly& u) { p.unusual.push_back(u); });
  p.result = lab::PlayFaultScenario(o, [&](const Record& r) {
    p.records.push_back(r);
    watch.OnRecord(r);
    p.lanes.AddRecord(r);
  });
  watch.Close();
  p.lanes.Close();
  return p;
}

FaultScenarioOptions Short(ScriptedFault thing, std::uint64_t seed = 5) {
  FaultScenarioOptions o;
  o.seed = seed;
  o.seconds = 180;
  o.at = 90;
  o.lasts = 20;
  o.thing = thing;
  return o;
}

const ReplicaTimeline& Of(const ReplicaTimelines& lanes, ReplicaId id) { return lanes.replicas().at(id); }

ReplicaState StateAt(const ReplicaTimelines& lanes, ReplicaId id, Time at) {
  const StateSpan* s = ReplicaTimelines::SpanAt(Of(lanes, id), at);
  return s == nullptr ? ReplicaState::kUnlisted : s->state;
}

// ---- Hours ----

TEST(Hours, TheSameSeedIsTheSameRecordAndAnotherIsNot) {
  FaultScenarioOptions o = Short(ScriptedFault::kErrors);
  o.seconds = 20;
  o.at = 5;
  const std::string a = lab::EncodeFaultScenario(o);
  EXPECT_EQ(a, lab::EncodeFaultScenario(o));
  o.seed = 6;
  EXPECT_NE(a, lab::EncodeFaultScenario(o));
}

TEST(Hours, EveryBadHourIsReproducedWhole) {
  for (int n = 0; n < static_cast<int>(ScriptedFault::kCount); ++n) {
    FaultScenarioOptions o = Short(static_cast<ScriptedFault>(n));
    o.seconds = 60;
    o.at = 20;
    std::vector<Record> records;
    Decode(lab::EncodeFaultScenario(o), records);
    Verifier v;
    for (const Record& r : records) v.AddRecord(r);
    EXPECT_TRUE(v.good()) << Name(o.thing) << v.first_difference();
    EXPECT_GT(v.decisions(), 5000U);
  }
}

// Every kind of record is read as it was written.
TEST(Records, AllKindsComeBackAsTheyWere) {
  FaultScenarioOptions o = Short(ScriptedFault::kDark);
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

// ---- States that do not lie ----

TEST(ReplicaTimelines, ADarkRosterIsUnknownWithWhatWasLastKnownAndNeverReady) {
  const Played p = Play(Short(ScriptedFault::kDark));
  const Time middle = p.result.from + 10 * kSec, after = p.result.to + 5 * kSec;
  std::size_t gone = 0, ready = 0, fresh = 0;
  for (const auto& [id, lane] : p.lanes.replicas()) {
    if (StateAt(p.lanes, id, p.result.from - kSec) == ReplicaState::kUnlisted) {
      ++fresh;  // came while nobody said so
      EXPECT_EQ(StateAt(p.lanes, id, middle), ReplicaState::kUnlisted) << lane.Title();
      EXPECT_EQ(StateAt(p.lanes, id, after), ReplicaState::kReady);
      continue;
    }
    EXPECT_EQ(StateAt(p.lanes, id, p.result.from - kSec), ReplicaState::kReady);
    const StateSpan* s = ReplicaTimelines::SpanAt(lane, middle);
    ASSERT_NE(s, nullptr);
    EXPECT_EQ(s->state, ReplicaState::kUnknown);
    EXPECT_EQ(s->last_known, ReplicaState::kReady);
    EXPECT_EQ(s->from, p.result.from);  // since when
    EXPECT_NE(s->reason.find("endpoint list unavailable"), std::string::npos);
    (StateAt(p.lanes, id, after) == ReplicaState::kGone ? gone : ready) += 1;
  }
  EXPECT_EQ(gone, 6U);
  EXPECT_EQ(ready, 6U);
  EXPECT_EQ(fresh, 6U);
}

TEST(ReplicaTimelines, WhatANodeOnceKnewIsNoWordAboutNow) {
  ReplicaTimelines lanes;
  lanes.AddRecord(Start{kFormat, "n", "", 1, 100 * kSec});
  Endpoint e;
  e.id = 4;
  lanes.AddRecord(Decision{101 * kSec, EndpointList{EndpointListScope::kCached, 1, {e}}, {}});
  EXPECT_EQ(StateAt(lanes, 4, 102 * kSec), ReplicaState::kUnknown);
  EXPECT_EQ(ReplicaTimelines::SpanAt(Of(lanes, 4), 102 * kSec)->last_known, ReplicaState::kReady);
  lanes.AddRecord(Decision{103 * kSec, EndpointList{EndpointListScope::kFull, 2, {e}}, {}});
  EXPECT_EQ(StateAt(lanes, 4, 104 * kSec), ReplicaState::kReady);
}

TEST(ReplicaTimelines, AHoleIsShownAndWhatCameBeforeItIsNotTakenToHold) {
  Played p = Play(Short(ScriptedFault::kNone));
  ReplicaTimelines lanes;
  std::size_t n = 0;
  Time hole = 0;
  for (const Record& r : p.records) {
    if (++n == p.records.size() / 2) {
      lanes.AddRecord(Gap{40});
      hole = lanes.end();
    }
    if (std::holds_alternative<EndpointRecord>(r) || std::holds_alternative<EndpointListRecord>(r)) continue;
    if (const auto* d = std::get_if<Decision>(&r);
        d != nullptr && hole != 0 && std::holds_alternative<EndpointList>(d->event))
      continue;
    lanes.AddRecord(r);
  }
  lanes.Close();
  for (const auto& [id, lane] : lanes.replicas())
    EXPECT_EQ(StateAt(lanes, id, hole + 5 * kSec), ReplicaState::kUnknown);
  bool said = false;
  for (const Annotation& m : lanes.annotations())
    said = said || m.text.find("40 records") != std::string::npos;
  EXPECT_TRUE(said);
  // Who is who is said again now and then, and that brings the states back.
  lanes.AddRecord(
      EndpointRecord{lanes.end() + kSec, 0x1001, "replica-001", "a:1", 0, EndpointState::kDraining, true});
  EXPECT_EQ(Of(lanes, 0x1001).spans.back().state, ReplicaState::kDraining);
}

TEST(ReplicaTimelines, AReplicaThatReportedNothingHasNoLoad) {
  Played p = Play(Short(ScriptedFault::kCutOff));
  ReplicaTimelines lanes;
  for (Record r : p.records) {
    if (auto* d = std::get_if<Decision>(&r)) {
      if (auto* e = std::get_if<AttemptEnded>(&d->event)) e->load_report.clear();
    }
    lanes.AddRecord(r);
  }
  lanes.Close();
  for (const auto& [id, lane] : lanes.replicas()) {
    for (const auto& [n, b] : lane.bins) EXPECT_LT(b.load, 0);
  }
  for (const TextTable& s : TimelineTables(lanes)) {
    if (s.name != "bins") continue;
    for (const Column& c : s.columns) {
      if (c.name != "load") continue;
      for (const double v : std::get<std::vector<double>>(c.values)) EXPECT_TRUE(std::isnan(v));
    }
  }
}

TEST(ReplicaTimelines, AClockThatStepsBackShiftsTimeAndSaysSo) {
  ReplicaTimelines lanes;
  Endpoint e;
  e.id = 4;
  lanes.AddRecord(Start{kFormat, "n", "", 1, 1000 * kSec});
  lanes.AddRecord(Decision{1010 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
  lanes.AddRecord(Start{kFormat, "n", "", 1, 400 * kSec});  // the process came back with another clock
  lanes.AddRecord(Decision{405 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
  lanes.AddRecord(Decision{420 * kSec, RequestArrived{1}, {SendAttempt{1, 4, 0}}});
  lanes.Close();
  EXPECT_EQ(lanes.end(), 1030 * kSec);
  EXPECT_LT(lanes.bins(), 40U);
  ASSERT_EQ(lanes.annotations().size(), 3U);
  EXPECT_NE(lanes.annotations()[1].text.find("stepped back by 610.0 s"), std::string::npos);
  EXPECT_EQ(StateAt(lanes, 4, 1012 * kSec), ReplicaState::kUnknown);  // between the start and its first list
  EXPECT_EQ(StateAt(lanes, 4, 1020 * kSec), ReplicaState::kReady);
}

TEST(ReplicaTimelines, AnIdThatComesBackElsewhereIsMarked) {
  ReplicaTimelines lanes;
  lanes.AddRecord(Start{kFormat, "n", "", 1, kSec});
  lanes.AddRecord(EndpointRecord{2 * kSec, 4, "a", "10.0.0.1:1", 0, EndpointState::kReady, false});
  lanes.AddRecord(EndpointRecord{9 * kSec, 4, "a", "10.0.0.2:1", 0, EndpointState::kReady, false});
  ASSERT_EQ(Of(lanes, 4).annotations.size(), 1U);
  EXPECT_EQ(Of(lanes, 4).annotations[0].text, "moved from 10.0.0.1:1 to 10.0.0.2:1");
}

// However long the record and however many its replicas, memory is bounded and nothing sent is lost from the
// sums.
RC_GTEST_PROP(LanesProperty, FoldedBinsKeepTheSums, ()) {
  ReplicaTimelineOptions o;
  o.max_bins = 8;
  o.max_replicas = 3;
  o.max_items = 4;
  ReplicaTimelines lanes(o);
  Time now = kSec;
  lanes.AddRecord(Start{kFormat, "n", "", 1, now});
  std::uint64_t sent = 0;
  for (const int gap : *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5'000'000))) {
    now += gap;
    const auto id = static_cast<ReplicaId>(gap % 3);
    const auto phase = static_cast<EndpointState>(gap % 3);
    Endpoint e;
    e.id = id;
    e.state = phase;
    if (gap % 5 == 0) lanes.AddRecord(Decision{now, EndpointList{EndpointListScope::kDelta, 1, {e}}, {}});
    lanes.AddRecord(Decision{now, RequestArrived{1}, {SendAttempt{1, id, 0}}});
    ++sent;
  }
  lanes.Close();
  RC_ASSERT(lanes.bins() <= o.max_bins);
  std::uint64_t counted = 0, fleet = 0;
  for (const auto& [id, lane] : lanes.replicas()) {
    RC_ASSERT(lane.spans.size() <= o.max_items);
    for (std::size_t i = 1; i < lane.spans.size(); ++i) RC_ASSERT(lane.spans[i - 1].to == lane.spans[i].from);
    for (const auto& [n, b] : lane.bins) counted += b.sent;
  }
  for (const auto& [n, f] : lanes.fleet()) fleet += f.sent;
  RC_ASSERT(counted == sent);
  RC_ASSERT(fleet == sent);
}

// ---- The unusual ----

struct Expected {
  ScriptedFault thing;
  AnomalyKind kind;
  bool fleet;
};

TEST(Anomaly, EachBadThingIsNoticedWhileItLastsAndEnds) {
  for (const Expected e : {Expected{ScriptedFault::kErrors, AnomalyKind::kErrors, false},
                           Expected{ScriptedFault::kSlow, AnomalyKind::kFirstToken, false},
                           Expected{ScriptedFault::kFull, AnomalyKind::kRejections, false},
                           Expected{ScriptedFault::kLoaded, AnomalyKind::kLoad, false},
                           Expected{ScriptedFault::kFleetErrors, AnomalyKind::kErrors, true},
                           Expected{ScriptedFault::kFleetSlow, AnomalyKind::kFirstToken, true},
                           Expected{ScriptedFault::kDark, AnomalyKind::kEndpointListUnavailable, true}}) {
    FaultScenarioOptions o = Short(e.thing);
    o.seconds = 240;
    o.at = 120;
    o.lasts = 30;
    const Played p = Play(o);
    const Anomaly* begins = nullptr;
    bool ends = false;
    for (const Anomaly& u : p.unusual) {
      if (u.kind != e.kind || u.fleet != e.fleet || (!e.fleet && u.replica != p.result.victim)) continue;
      if (u.begins && begins == nullptr && u.now >= p.result.from && u.now <= p.result.to) begins = &u;
      ends = ends || (begins != nullptr && !u.begins && u.number == begins->number && u.now > p.result.from);
    }
    ASSERT_NE(begins, nullptr) << Name(e.thing);
    EXPECT_TRUE(ends) << Name(e.thing);
    if (e.kind != AnomalyKind::kEndpointListUnavailable) {
      EXPECT_GT(begins->during, begins->baseline) << Name(e.thing);
    }
  }
}

// A change of the whole fleet is one event, not one for each replica.
TEST(Anomaly, WhatAllDoAtOnceIsTheFleets) {
  for (const ScriptedFault thing : {ScriptedFault::kFleetErrors, ScriptedFault::kFleetSlow}) {
    FaultScenarioOptions o = Short(thing);
    o.replicas = 20;
    o.per_second = 100;
    const Played p = Play(o);
    const AnomalyKind kind =
        thing == ScriptedFault::kFleetErrors ? AnomalyKind::kErrors : AnomalyKind::kFirstToken;
    int fleet = 0, single = 0;
    for (const Anomaly& u : p.unusual) {
      if (!u.begins || u.kind != kind || u.now < p.result.from || u.now > p.result.to + 10 * kSec) continue;
      (u.fleet ? fleet : single) += 1;
    }
    EXPECT_EQ(fleet, 1) << Name(thing);
    EXPECT_LE(single, 1) << Name(thing);
  }
}

TEST(Anomaly, OneMadSecondIsNoEvent) {
  const Played calm = Play(Short(ScriptedFault::kNone));
  std::vector<Anomaly> events;
  AnomalyDetector watch([&](const Anomaly& u) { events.push_back(u); });
  for (const Record& r : calm.records) {
    if (const auto* d = std::get_if<Decision>(&r);
        d != nullptr && d->now / kSec == (calm.lanes.begin() + 100 * kSec) / kSec) {
      if (const auto* e = std::get_if<AttemptEnded>(&d->event); e != nullptr && e->replica == 0x1003) {
        AttemptEnded bad = *e;
        bad.outcome = Outcome::kReset;
        watch.OnDecision(d->now, bad, d->actions);
        continue;
      }
    }
    watch.OnRecord(r);
  }
  for (const Anomaly& u : events) EXPECT_NE(u.kind, AnomalyKind::kErrors) << ToText(u);
}

TEST(Anomaly, ARosterThatCallsReadyWhatNobodyCanReachIsContradicted) {
  std::vector<Anomaly> events;
  AnomalyDetector watch([&](const Anomaly& u) { events.push_back(u); });
  Endpoint e;
  e.id = 9;
  Time now = 100 * kSec;
  watch.OnDecision(now, EndpointList{EndpointListScope::kFull, 1, {e}}, {});
  for (RequestId id = 1; id < 12; ++id) {
    now += 400'000;
    watch.OnDecision(now, AttemptEnded{id, 0, 9, Outcome::kConnectFailed, 100, false, 0, {}}, {});
  }
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, AnomalyKind::kEndpointListContradicted);
  EXPECT_EQ(events[0].replica, 9U);
  watch.OnDecision(now += kSec, AttemptEnded{20, 0, 9, Outcome::kServed, 100, true, 0, {}}, {});
  watch.OnDecision(now += 2 * kSec, TimerFired{1}, {});
  ASSERT_EQ(events.size(), 2U);
  EXPECT_FALSE(events[1].begins);
  EXPECT_EQ(watch.open_anomalies(), 0U);
}

TEST(Anomaly, OnlyWhatItOnceKnewForLongIsBehind) {
  std::vector<Anomaly> events;
  AnomalyDetector watch([&](const Anomaly& u) { events.push_back(u); });
  Endpoint e;
  e.id = 9;
  watch.OnDecision(100 * kSec, EndpointList{EndpointListScope::kCached, 0, {e}}, {});
  watch.OnDecision(104 * kSec, TimerFired{1}, {});
  EXPECT_TRUE(events.empty());
  watch.OnDecision(107 * kSec, TimerFired{2}, {});
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0].kind, AnomalyKind::kEndpointListStale);
  watch.OnDecision(108 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {});
  ASSERT_EQ(events.size(), 2U);
  EXPECT_FALSE(events[1].begins);
}

// Whatever comes, each event that begins ends once, and memory is bounded.
RC_GTEST_PROP(UnusualProperty, WhatBeginsEndsOnce, ()) {
  std::map<std::uint64_t, int> open;
  AnomalyOptions o;
  o.max_replicas = 5;
  AnomalyDetector watch(
      [&](const Anomaly& u) {
        if (u.begins) {
          RC_ASSERT(open[u.number] == 0);
          open[u.number] = 1;
        } else {
          RC_ASSERT(open[u.number] == 1);
          open[u.number] = 2;
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
    if (x % 11 == 0) watch.OnEndpointList(now, "watch", x % 2 == 0 ? "silent" : "");
    if (x % 5 == 0)
      watch.OnDecision(now, EndpointList{static_cast<EndpointListScope>(x / 5 % 4), 1, {e}}, {});
    watch.OnDecision(
        now, AttemptEnded{1, 0, id, static_cast<Outcome>(x % 8), 5, false, 0, {static_cast<double>(x % 100)}},
        {});
    watch.OnDecision(now, ResponseStarted{1, 0, id, x}, {SendAttempt{1, id, 0}});
  }
  watch.Close();
  RC_ASSERT(watch.open_anomalies() <= 2U);  // the roster's own may last
}

// ---- Bursts ----

TEST(Bursts, TenThousandFailuresASecondStayWithinTheBudgetAndAreCounted) {
  const std::size_t rate = std::size_t{256} * 1024;
  RecordBudget budget(rate);
  Coalescer coalescer;
  std::string kept;
  std::uint64_t decisions = 0, counted = 0, failures = 0;
  Time last = 0;
  std::map<Time, std::size_t> by_second;
  const auto flush = [&] {
    if (const auto burst = coalescer.TakeCounted()) {
      const std::size_t before = kept.size();
      Encode(*burst, kept);
      by_second[last / kSec] += kept.size() - before;
      counted += burst->decisions;
      EXPECT_LE(burst->replicas.size(), Coalescer::kMaxReplicas);
      EXPECT_GE(burst->last, burst->first);
      failures += burst->outcomes[static_cast<std::size_t>(Outcome::kReset)];
    }
  };
  std::uint64_t all = 0;
  const auto take = [&](Time now, const Event& event, const std::vector<Action>& actions) {
    ++all;
    last = now;
    if (!budget.MayKeep(now)) {
      coalescer.Count(now, event, actions);
      if (coalescer.Due(now)) flush();
      return;
    }
    flush();
    const std::size_t before = kept.size();
    Encode(now, event, actions, kept);
    budget.Spend(kept.size() - before);
    by_second[now / kSec] += kept.size() - before;
    ++decisions;
  };
  // Five seconds of 10,000 failures each, at 200 replicas, each followed by another attempt or a refusal.
  Time now = 100 * kSec;
  for (RequestId id = 1; id <= 50'000; ++id) {
    now += 100;
    const auto replica = static_cast<ReplicaId>(id % 200);
    const Action next =
        id % 3 == 0 ? Action(RejectRequest{id, kSec}) : Action(SendAttempt{id, replica + 1, 0});
    take(now, RequestArrived{id}, {SendAttempt{id, replica, 0}});
    take(now, AttemptEnded{id, 0, replica, Outcome::kReset, 300, false, 0, {}}, {next});
  }
  flush();
  EXPECT_EQ(decisions + counted, all);
  EXPECT_GT(counted, 50'000U);
  EXPECT_GT(failures, 20'000U);
  for (const auto& [second, bytes] : by_second) EXPECT_LE(bytes, 2 * rate + 4096) << second;
  std::vector<Record> records;
  Decode(kept, records);
  ReplicaTimelines lanes;
  lanes.AddRecord(Start{kFormat, "n", "", 1, 0});
  for (const Record& r : records) lanes.AddRecord(r);
  std::uint64_t shown = 0;
  for (const auto& [n, f] : lanes.fleet()) shown += f.coalesced;
  EXPECT_EQ(shown, counted);  // what was not kept shows as not kept
}

// ---- Merging ----

TEST(TimelineMerge, TwoClocksThreeSecondsApartBecomeOneLinePerReplica) {
  FaultScenarioOptions a = Short(ScriptedFault::kSlow), b = a;
  b.node = "n1";
  b.clock = 3 * kSec;
  b.seed = a.seed + 12;  // the same victim: 12 replicas
  std::vector<ReplicaTimelines> nodes;
  nodes.push_back(Play(a).lanes);
  nodes.push_back(Play(b).lanes);
  const TimelineMerge merge(nodes);
  ASSERT_EQ(merge.nodes().size(), 2U);
  EXPECT_EQ(merge.nodes()[1].offset, -3 * kSec);
  EXPECT_GE(merge.nodes()[1].common_generations, 4U);
  EXPECT_EQ(merge.timelines().replicas().size(), 12U);
  EXPECT_TRUE(merge.disagreements().empty());
  std::uint64_t parts = 0, joined = 0;
  for (const ReplicaTimelines& n : nodes) {
    for (const auto& [id, lane] : n.replicas()) {
      for (const auto& [k, bin] : lane.bins) parts += bin.sent;
    }
  }
  for (const auto& [id, lane] : merge.timelines().replicas()) {
    for (const auto& [k, bin] : lane.bins) joined += bin.sent;
  }
  EXPECT_EQ(parts, joined);
}

TEST(TimelineMerge, OneNodeInTheDarkDoesNotHideWhatTheOtherKnowsAndDifferencesAreTold) {
  const auto node = [](const char* name, bool dark, bool draining) {
    ReplicaTimelines lanes;
    Endpoint e;
    e.id = 4;
    lanes.AddRecord(Start{kFormat, name, "", 1, 100 * kSec});
    lanes.AddRecord(Decision{101 * kSec, EndpointList{EndpointListScope::kFull, 1, {e}}, {}});
    if (dark) lanes.AddRecord(EndpointListRecord{110 * kSec, "watch", 1, "silent", false});
    if (draining) {
      e.state = EndpointState::kDraining;
      lanes.AddRecord(Decision{110 * kSec, EndpointList{EndpointListScope::kDelta, 2, {e}}, {}});
    }
    lanes.AddRecord(Decision{130 * kSec, TimerFired{1}, {}});
    lanes.Close();
    return lanes;
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

// Two nodes may know different replicas by one number: what was unusual stays with the replica that it was.
TEST(TimelineMerge, ANumberThatTwoReplicasShareDoesNotMixTheirEvents) {
  const auto node = [](const char* name, const char* replica) {
    ReplicaTimelines lanes;
    lanes.AddRecord(Start{kFormat, name, "", 1, 100 * kSec});
    lanes.AddRecord(EndpointRecord{101 * kSec, 4, replica, "a:1", 0, EndpointState::kReady, false});
    lanes.AddRecord(Anomaly{.now = 105 * kSec, .number = 1, .kind = AnomalyKind::kErrors, .replica = 4});
    lanes.Close();
    return lanes;
  };
  const TimelineMerge merge({node("a", "left"), node("b", "right")});
  std::set<std::string> named;
  for (const Anomaly& u : merge.timelines().anomalies())
    named.insert(merge.timelines().ReplicaTitle(u.replica));
  EXPECT_EQ(named, (std::set<std::string>{"left", "right"}));
}

// ---- Stories ----

TEST(RequestTrace, TellsWhoWasAskedAndWhyAndHowItEnded) {
  FaultScenarioOptions o = Short(ScriptedFault::kErrors);
  const Played p = Play(o);
  // A request whose first attempt failed at the victim.
  RequestId id = 0;
  for (const Record& r : p.records) {
    const auto* d = std::get_if<Decision>(&r);
    const auto* e = d == nullptr ? nullptr : std::get_if<AttemptEnded>(&d->event);
    if (e != nullptr && e->outcome == Outcome::kError && e->replica == p.result.victim) id = e->id;
  }
  ASSERT_NE(id, 0U);
  for (const std::string& name : {"call-" + std::to_string(id), "req_call-" + std::to_string(id)}) {
    RequestTrace story(name);
    for (const Record& r : p.records) story.AddRecord(r);
    EXPECT_EQ(story.found(), 1U);
    std::string all;
    for (const std::string& line : story.Lines()) all += line + "\n";
    EXPECT_NE(all.find("arrives"), std::string::npos) << all;
    EXPECT_NE(all.find("most spare capacity"), std::string::npos) << all;
    EXPECT_NE(all.find("ends: error"), std::string::npos) << all;
    EXPECT_TRUE(all.find("served") != std::string::npos || all.find("rejected") != std::string::npos) << all;
    EXPECT_NE(all.find("ready for"), std::string::npos) << all;
  }
  RequestTrace nobody("call-0");
  for (const Record& r : p.records) nobody.AddRecord(r);
  EXPECT_EQ(nobody.found(), 0U);
}

// Reasons from a replay are those that the node itself would have kept.
TEST(RequestTrace, AReplayTellsTheReasonsThatTheRecordDoesNotKeep) {
  const std::string path =
      std::filesystem::temp_directory_path().string() + "/ryeglade-reasons-" + std::to_string(getpid());
  std::filesystem::create_directories(path);
  FaultScenarioOptions o = Short(ScriptedFault::kCutOff);
  o.seconds = 120;
  std::vector<std::string> notes[2];
  for (const bool kept : {true, false}) {
    o.reasons = kept;
    const std::string file = path + "/" + (kept ? "kept" : "bare") + ".flight";
    lab::WriteFaultScenario(o, file);
    ReadWithReasons({file}, [&](const Record& r) {
      if (std::holds_alternative<ReasonRecord>(r)) notes[kept ? 0 : 1].push_back(ToText(r));
    });
  }
  std::filesystem::remove_all(path);
  EXPECT_GT(notes[0].size(), 1000U);
  EXPECT_EQ(notes[0], notes[1]);
}

// ---- Tables and pictures ----

TEST(Export, EverySheetIsSquareAndCsvHasItsRows) {
  const Played p = Play(Short(ScriptedFault::kDark));
  ReplicaTimelines lanes = p.lanes;
  for (const Anomaly& u : p.unusual) lanes.AddRecord(u);
  std::set<std::string> names;
  for (const TextTable& s : TimelineTables(lanes)) {
    names.insert(s.name);
    for (const Column& c : s.columns)
      EXPECT_EQ(std::visit([](const auto& v) { return v.size(); }, c.values), s.rows()) << s.name << c.name;
    const std::string csv = Csv(s);
    EXPECT_EQ(static_cast<std::size_t>(std::count(csv.begin(), csv.end(), '\n')), s.rows() + 1);
  }
  EXPECT_EQ(names, (std::set<std::string>{"bins", "fleet", "states", "rests", "events", "marks"}));
}

TEST(Plot, AScriptForEveryFleetAndNoWayOutOfItsQuotes) {
  FaultScenarioOptions o = Short(ScriptedFault::kErrors);
  for (const int replicas : {3, 200}) {
    o.replicas = replicas;
    ReplicaTimelines lanes = Play(o).lanes;
    lanes.AddRecord(
        EndpointRecord{lanes.end(), 0x1001, "na\"me`date`\\", "a:1", 0, EndpointState::kReady, false});
    const std::string script = TimelinePlotScript(lanes, {"x.svg", "a \"title\"", 1400});
    EXPECT_NE(script.find("set terminal svg"), std::string::npos);
    EXPECT_EQ(script.find('`'), std::string::npos);
    EXPECT_NE(script.find("na'me'date''"), std::string::npos);
    EXPECT_LT(script.size(), 4U * 1024 * 1024);
  }
  EXPECT_THROW(TimelinePlotScript(ReplicaTimelines(), {"x.gif", "", 1400}), std::runtime_error);
}

// ---- A node as a process ----

class BadHour : public testing::TestWithParam<std::string> {};

TEST_P(BadHour, IsRecordedAsItWasAndReproduced) {
  const std::string program = std::getenv("RYEGLADE_PROGRAM");
  std::string directory = std::filesystem::temp_directory_path().string() + "/ryeglade-bad-XXXXXX";
  ASSERT_NE(mkdtemp(directory.data()), nullptr);
  lab::LiveFaultScenarioOptions o;
  o.program = program;
  o.name = GetParam();
  o.record = directory;
  o.seconds = 18;
  o.per_second = 40;
  const lab::LiveFaultScenarioResult r = lab::PlayLiveFaultScenario(o);
  EXPECT_EQ(r.exit_code, 0) << r.log;
  EXPECT_EQ(r.answered, r.asked);
  EXPECT_EQ(r.two_at_once, 0U);
  const std::string timeline = program + " timeline ";
  const std::string verified = Shell(timeline + "verify " + directory);
  EXPECT_EQ(verified.find("failed: "), std::string::npos) << verified;
  EXPECT_NE(verified.find(" 0 could not be compared"), std::string::npos) << verified;
  const std::string all = Shell(timeline + "show " + directory);
  EXPECT_NE(all.find("stand-in-5"), std::string::npos) << all;
  const std::string told = Shell(timeline + "show --replica stand-in-0 " + directory);
  const std::map<std::string, std::string> expected = {
      {"dark", "unknown for "},      {"slow", "first ms"}, {"erroring", "error"},
      {"cut-off", "connect-failed"}, {"replaced", "gone"}, {"drained", "draining for "}};
  EXPECT_NE(told.find(expected.at(o.name)), std::string::npos) << told;
  if (o.name == "dark") {
    EXPECT_NE(told.find("last known ready"), std::string::npos) << told;
    EXPECT_NE(Shell(timeline + "events " + directory).find("roster-dark"), std::string::npos);
  }
  std::filesystem::remove_all(directory);
}

INSTANTIATE_TEST_SUITE_P(All, BadHour, testing::ValuesIn(lab::LiveFaultScenarioNames()),
                         [](const auto& named) {
                           std::string name = named.param;
                           std::erase(name, '-');
                           return name;
                         });

TEST(RingNode, TheNewestIsKeptInMemoryAndWrittenOnASignal) {
  std::string directory = std::filesystem::temp_directory_path().string() + "/ryeglade-ring-XXXXXX";
  ASSERT_NE(mkdtemp(directory.data()), nullptr);
  lab::LocalFleetOptions o;
  o.program = std::getenv("RYEGLADE_PROGRAM");
  o.replicas.resize(2);
  o.more_settings =
      "[timeline]\nring = \"64KiB\"\nblock = \"4KiB\"\ndump_directory = \"" + directory + "\"\n";
  lab::LocalFleet fleet(o);
  for (int i = 0; i < 300; ++i) {
    fleet.Ask(fleet.openai(),
              lab::Post("/v1/chat/completions", "",
                        R"({"model":"docs-model","max_tokens":2,"messages":[{"role":"user","content":"q)" +
                            std::to_string(i) + "\"}]}"));
  }
  fleet.node().Signal(SIGUSR2);
  EXPECT_TRUE(
      fleet.Until([&] { return fleet.node().Log().find("flight-dumped") != std::string::npos; }, 10'000'000));
  std::uint64_t bytes = 0, decisions = 0;
  std::set<std::string> members;
  const ReadTotals totals = ReadFlight(FlightFiles({directory}), [&](const Record& r) {
    std::string raw;
    EncodeRecord(r, raw);
    bytes += raw.size();
    decisions += std::holds_alternative<Decision>(r) ? 1 : 0;
    if (const auto* m = std::get_if<EndpointRecord>(&r)) members.insert(m->name);
  });
  EXPECT_EQ(totals.Losses(), "");
  EXPECT_GT(decisions, 100U);
  EXPECT_LE(bytes, 64U * 1024 + 4096);
  EXPECT_EQ(fleet.node().Stop(), 0);
  std::filesystem::remove_all(directory);
}

}  // namespace
}  // namespace ryeglade::timeline
