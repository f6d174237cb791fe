// Gossip: traffic shares that add up whatever is lost, late, dead or cut off; messages from untrusted peers;
// the consensus on outliers; the traffic of prefixes.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <cmath>
#include <limits>
#include <map>
#include <tuple>

#include "gossip/gossip_queue_model.h"
#include "gossip/shared_state_model.h"
#include "lab/emulator/gossip_simulation.h"
#include "lab/emulator/simulation.h"

namespace ryeglade {
namespace {

using gossip::NodeReport;
using gossip::Time;
using gossip::TrafficShareModel;

constexpr Time kSecond = 1'000'000;

NodeReport MakeReport(std::uint64_t incarnation, std::uint64_t sequence, double rate) {
  NodeReport report;
  report.incarnation = incarnation;
  report.sequence = sequence;
  report.rate = rate;
  return report;
}

// A node that hears of others with rates of `rates`, all sure, for `seconds`.
double ShareAfter(TrafficShareModel& m, const std::vector<double>& rates, double own, int seconds,
                  Time* now) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < rates.size(); ++i) names.push_back("p" + std::to_string(i));
  double share = 0;
  for (int half = 0; half < 2 * seconds; ++half, *now += kSecond / 2) {
    for (int k = 0; k < static_cast<int>(own / 2); ++k) m.OnArrival(*now);
    m.SetMembers(*now, names, true, true);
    m.NextReport(*now);
    for (std::size_t i = 0; i < rates.size(); ++i)
      m.OnReport(*now, names[i], MakeReport(1, static_cast<std::uint64_t>(*now), rates[i]));
    share = m.UpdateShare(*now, rates.size() + 1);
  }
  return share;
}

TEST(TrafficShare, ANodeThatGetsMoreHasALargerShare) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  // 60 of 60 + 3 * 20 requests, with a quarter of the mean (30) for each of the four on top.
  EXPECT_NEAR(ShareAfter(m, {20, 20, 20}, 60, 40, &now), (60 + 7.5) / (120 + 30), 0.03);
  EXPECT_STREQ(m.state(), "shares");
  const auto lines = m.Explain(now);
  ASSERT_EQ(lines.size(), 4U);
  EXPECT_EQ(lines.front().node, "me");
}

TEST(TrafficShare, AShareFallsAtOnceAndRisesOnlyWhenOthersHaveHadTimeToHear) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  const double before = ShareAfter(m, {20, 20}, 20, 40, &now);
  // Another gets ten times the traffic: this part falls with the first word of it.
  m.OnReport(now, "p0", MakeReport(1, 1'000'000'000, 200));
  const double fallen = m.UpdateShare(now, 3);
  EXPECT_LT(fallen, before / 2);
  // It is over: not before the span to settle has passed.
  m.OnReport(now + 1, "p0", MakeReport(1, 1'000'000'001, 20));
  EXPECT_EQ(m.UpdateShare(now + kSecond, 3), fallen);
  EXPECT_EQ(m.UpdateShare(now + 2 * kSecond, 3), fallen);
  now += 4 * kSecond;
  EXPECT_GT(ShareAfter(m, {20, 20}, 20, 10, &now), 1.5 * fallen);
}

TEST(TrafficShare, ReportsOutOfBoundsOldOnesAndThoseOfNonMembersMoveNothing) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  ShareAfter(m, {20, 20}, 20, 40, &now);
  const double before = m.UpdateShare(now, 3);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double rate : {nan, -5.0, 1e18, std::numeric_limits<double>::infinity()})
    m.OnReport(now, "p0", MakeReport(9, 9'000'000'000, rate));
  m.OnReport(now, "stranger", MakeReport(1, 1, 1000));
  m.OnReport(now, "p0", MakeReport(1, 1, 1000));  // older than what was heard
  m.OnReport(now, "me", MakeReport(5, 5, 1000));  // of this node's own name
  EXPECT_EQ(m.UpdateShare(now, 3), before);
  // A process that has started anew counts, whatever its numbers.
  m.OnReport(now, "p0", MakeReport(2, 1, 1000));
  EXPECT_LT(m.UpdateShare(now, 3), before);
}

TEST(TrafficShare, WithAnUncertainViewAShareIsFrozenAndThenGoesBackByStepsToTheEqualOne) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  const double before = ShareAfter(m, {10, 10, 10}, 60, 40, &now);
  m.SetMembers(now, {}, false, false);
  EXPECT_EQ(m.UpdateShare(now + 20 * kSecond, 4), before);
  EXPECT_STREQ(m.state(), "held");
  double last = m.UpdateShare(now + 31 * kSecond, 4);
  int steps = 0;
  for (Time t = now + 31 * kSecond; last > 0.25 && steps < 1000; t += kSecond / 2, ++steps) {
    const double next = m.UpdateShare(t, 4);
    EXPECT_GE(next, last * 0.9);  // never a jump
    last = next;
  }
  EXPECT_EQ(last, 0.25);
  EXPECT_GT(steps, 10);
  EXPECT_STREQ(m.state(), "equal");
}

TEST(TrafficShare, OfThoseThatAreAbsentButNotSettledAsGoneOnlyABoundedPartIsTaken) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  const double before = ShareAfter(m, {20, 20, 20, 20}, 20, 40, &now);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    m.SetMembers(now, {"p0"}, true, false);  // three have been taken off the view, which is not settled yet
    m.OnReport(now, "p0", MakeReport(1, static_cast<std::uint64_t>(now), 20));
    m.UpdateShare(now, 5);
  }
  EXPECT_LE(m.UpdateShare(now, 5), 1.5 * before + 1e-9);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    m.SetMembers(now, {"p0"}, true, true);
    m.UpdateShare(now, 5);
  }
  EXPECT_GT(m.UpdateShare(now, 5), 2 * before);
}

// Messages that are lost at random, rates that move at random: the sum of all shares stays near one.
RC_GTEST_PROP(TrafficShare, AddUpWhateverIsLostAndHoweverRatesMove, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(2, 9);
  const double loss = *rc::gen::inRange(0, 60) / 100.0;
  std::uint64_t state = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const auto draw = [&] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(state >> 33) / static_cast<double>(1ULL << 31);
  };
  Time now = kSecond;
  std::vector<TrafficShareModel> nodes;
  std::vector<std::string> names;
  std::vector<double> rates(n, 20);
  for (std::size_t i = 0; i < n; ++i) names.push_back("n" + std::to_string(i));
  for (std::size_t i = 0; i < n; ++i) nodes.emplace_back(names[i], 1, now);
  for (int turn = 0; turn < 240; ++turn, now += kSecond / 2) {
    if (turn % 20 == 19) rates[static_cast<std::size_t>(draw() * static_cast<double>(n))] = 5 + 100 * draw();
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) {
      for (int k = 0; k < static_cast<int>(rates[i] / 2); ++k) nodes[i].OnArrival(now);
      nodes[i].SetMembers(now, names, true, true);
      const auto report = nodes[i].NextReport(now);
      for (std::size_t m = 0; report && m < n; ++m) {
        if (m != i && draw() >= loss) nodes[m].OnReport(now, names[i], *report);
      }
    }
    for (std::size_t i = 0; i < n; ++i) sum += nodes[i].UpdateShare(now, n);
    RC_ASSERT(sum <= 1.1);
    if (turn > 60) RC_ASSERT(sum >= 0.3);
  }
}

// ---- Messages ----

NodeReport LargestReport() {
  NodeReport report;
  report.incarnation = ~std::uint64_t{0};
  report.sequence = ~std::uint64_t{0};
  report.rate = gossip::kMaxRate;
  report.suspects_itself = true;
  report.failing_replicas = 0xffff;
  const gossip::OutlierReport outlier{
      0xffffffff, Time{1'700'000'000'000'000}, 255, gossip::kMaxSpan, 0, -4, 255, 255, gossip::kMaxSpan};
  report.outlier_reports.assign(gossip::kMaxOutlierReports, outlier);
  report.prefix_rates.assign(gossip::kMaxPrefixRates, {~std::uint64_t{0}, gossip::kMaxRate});
  return report;
}

TEST(GossipMessages, TheLongestFitsAndComesBackAsItWas) {
  const gossip::GossipMessage t{std::string(64, 'n'), gossip::kMaxAge, LargestReport()};
  const std::string bytes = gossip::Encode(t);
  EXPECT_LE(bytes.size(), gossip::kMaxMessageBytes);
  const char* why = "";
  const auto back = gossip::Decode(bytes, &why);
  ASSERT_TRUE(back) << why;
  EXPECT_EQ(back->node, t.node);
  EXPECT_EQ(back->age, t.age);
  ASSERT_EQ(back->report.outlier_reports.size(), gossip::kMaxOutlierReports);
  const gossip::OutlierReport &a = back->report.outlier_reports[3], &b = t.report.outlier_reports[3];
  EXPECT_EQ(std::tie(a.replica, a.started_at, a.consecutive_failures, a.ejected_for, a.last_outcome_age,
                     a.slowness, a.slowness_samples, a.in_flight, a.stalled_for),
            std::tie(b.replica, b.started_at, b.consecutive_failures, b.ejected_for, b.last_outcome_age,
                     b.slowness, b.slowness_samples, b.in_flight, b.stalled_for));
  EXPECT_EQ(back->report.prefix_rates.back().rate, gossip::kMaxRate);
}

TEST(GossipMessages, WhatIsNotANumberIsToldAsNothingAndWhatIsTooMuchAsTheMost) {
  NodeReport report;
  const double nan = std::numeric_limits<double>::quiet_NaN();
  report.rate = nan;
  report.outlier_reports = {
      {1, 0, -5, -7, -1, nan, -3, -1, -1},
      {2, 0, 9999, Time{1} << 60, 1 + gossip::kMaxSpan, 1e300, 1e300, 9999, Time{1} << 60}};
  report.prefix_rates = {{1, -1}, {2, 1e300}};
  const char* why = "";
  const auto back = gossip::Decode(gossip::Encode({"n", -5, report}), &why);
  ASSERT_TRUE(back) << why;
  EXPECT_EQ(back->report.rate, 0);
  EXPECT_EQ(back->report.outlier_reports[0].slowness, 0);
  EXPECT_EQ(back->report.outlier_reports[0].consecutive_failures, 0);
  EXPECT_EQ(back->report.outlier_reports[1].consecutive_failures, 255);
  EXPECT_EQ(back->report.outlier_reports[1].slowness, 4);
  EXPECT_EQ(back->report.outlier_reports[1].last_outcome_age, -1);
  EXPECT_EQ(back->report.prefix_rates[1].rate, gossip::kMaxRate);
}

// Bytes that are cut, changed or made up are turned down or read within bounds, never worse.
RC_GTEST_PROP(GossipMessages, AnyBytesAreReadWithinBoundsOrTurnedDown, ()) {
  std::string bytes = gossip::Encode({"n1", 1000, LargestReport()});
  const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
  bytes.resize(cut);
  for (const auto& [at, value] : *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
           rc::gen::pair(rc::gen::inRange<std::size_t>(0, 1200), rc::gen::arbitrary<char>()))) {
    if (at < bytes.size()) bytes[at] = value;
  }
  const char* why = "";
  const auto t = gossip::Decode(bytes, &why);
  if (!t) {
    RC_ASSERT(std::string(why) == "malformed" || std::string(why) == "range" || std::string(why) == "form");
    return;
  }
  RC_ASSERT(t->report.outlier_reports.size() <= gossip::kMaxOutlierReports &&
            t->report.prefix_rates.size() <= gossip::kMaxPrefixRates);
  RC_ASSERT(t->report.rate >= 0 && t->report.rate <= gossip::kMaxRate);
  for (const gossip::OutlierReport& c : t->report.outlier_reports)
    RC_ASSERT(std::abs(c.slowness) <= 4 && c.ejected_for >= 0 && c.ejected_for <= gossip::kMaxSpan);
}

TEST(GossipQueue, EveryReportGoesAFewTimesThoseSentLeastFirstAndANewerOneTakesItsPlace) {
  gossip::GossipQueue g;
  for (int i = 0; i < 40; ++i) g.Enqueue(0, {"n" + std::to_string(i), 0, MakeReport(1, 1, i)}, i == 0);
  std::map<std::string, int> sent;
  const char* why = "";
  for (int i = 0; i < 1000 && g.has_pending(); ++i) {
    std::size_t size = 0;
    for (const std::string& bytes : g.TakeMessages(kSecond, 200, 5)) {
      size += bytes.size() + 5;
      const auto t = gossip::Decode(bytes, &why);
      ASSERT_TRUE(t) << why;
      EXPECT_EQ(t->age, kSecond);  // it has lain here
      ++sent[t->node];
    }
    EXPECT_LE(size, 200U);
    if (i == 3) {
      // Before any has gone twice all have gone once, or nearly.
      for (const auto& [name, n] : sent) EXPECT_LE(n, 2) << name;
    }
  }
  EXPECT_EQ(sent.size(), 40U);
  for (const auto& [name, n] : sent)
    EXPECT_EQ(n, name == "n0" ? gossip::GossipQueue::kOwnSends : gossip::GossipQueue::kForwards);
  g.Enqueue(0, {"n1", 0, MakeReport(1, 2, 7)}, false);
  EXPECT_TRUE(g.has_pending());
  EXPECT_EQ(g.size(), 40U);
  EXPECT_TRUE(g.TakeMessages(2 * gossip::kMaxAge, 1000, 5).empty());  // too old to be passed on
  EXPECT_FALSE(g.has_pending());
}

// ---- Outlier consensus ----

struct Fleet {
  std::vector<policy::ReplicaView> all;
  explicit Fleet(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      policy::ReplicaView v;
      v.endpoint.id = static_cast<policy::ReplicaId>(i + 1);
      v.endpoint.started_at = 1000;
      all.push_back(v);
    }
  }
  policy::ReplicaView& at(policy::ReplicaId id) { return all[id - 1]; }
};

gossip::OutlierReport FailureOf(policy::ReplicaId id, Time started = 1000) {
  return {id, started, 3, 4 * kSecond, kSecond / 2, 1.1, 3, 1, 0};
}

NodeReport ReportWith(std::vector<gossip::OutlierReport> outlier_reports) {
  NodeReport report = MakeReport(1, 1, 10);
  report.failing_replicas = static_cast<int>(outlier_reports.size());
  report.outlier_reports = std::move(outlier_reports);
  return report;
}

// A node that sees nothing itself, among `n` others, in zones.
struct Node {
  Fleet fleet{20};
  gossip::OutlierConsensusModel model{"me", gossip::OutlierConsensusLimits{}};
  Time now = 100 * kSecond;
  explicit Node(std::size_t n, std::size_t zones = 1) {
    std::vector<gossip::OutlierConsensusModel::Peer> members;
    for (std::size_t i = 0; i < n; ++i)
      members.push_back({"p" + std::to_string(i), zones > 1 ? "z" + std::to_string(i % zones) : ""});
    model.ObserveReplicas(now, fleet.all, false);
    model.SetMembers(now, members, zones > 1 ? "z0" : "", true);
  }
  std::map<policy::ReplicaId, policy::PeerReplicaReport> Evaluate(double part = 0.1) {
    std::map<policy::ReplicaId, policy::PeerReplicaReport> told;
    model.ObserveReplicas(now, fleet.all, false);
    for (const auto& t : model.Evaluate(now, part)) told[t.id] = t;
    return told;
  }
  bool IsEjected(policy::ReplicaId id) {
    const auto told = Evaluate();
    return told.contains(id) && told.at(id).ejected_until > now;
  }
};

TEST(OutlierConsensus, OneNodeTakesNothingFromOthersTwoDoAndOnesOwnAnswerComesFirst) {
  Node node(4);
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1)}));
  EXPECT_FALSE(node.IsEjected(1));
  EXPECT_STREQ(node.model.findings().front().reason, "too-few-accusers");
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  // It answered here a moment ago.
  node.fleet.at(1).slowness_updated_at = node.now - kSecond / 4;
  EXPECT_TRUE(node.Evaluate().contains(1));
  EXPECT_EQ(node.model.findings().front().ejected_until, 0);
}

TEST(OutlierConsensus, InMoreThanOneZoneItTakesAccusersInTwoOrInOnesOwn) {
  Node node(6, 3);
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  node.model.OnReport(node.now, "p4", ReportWith({FailureOf(1)}));  // the same zone, and not this node's
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p2", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  // Two of this node's own zone: what their network does to them it does to this node.
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(2)}));
  node.model.OnReport(node.now, "p3", ReportWith({FailureOf(2)}));
  EXPECT_TRUE(node.IsEjected(2));
}

TEST(OutlierConsensus, AnAnswerThatSomebodyGotSinceReleasesAll) {
  Node node(8);
  for (const char* p : {"p0", "p1", "p2", "p3", "p4", "p5"})
    node.model.OnReport(node.now, p, ReportWith({FailureOf(1)}));
  ASSERT_TRUE(node.IsEjected(1));
  gossip::OutlierReport good{1, 1000, 0, 0, kSecond / 10, 0, 5, 0, 0};
  node.now += kSecond;
  node.model.OnReport(node.now, "p6", ReportWith({good}));
  const auto told = node.Evaluate();
  ASSERT_TRUE(told.contains(1));
  EXPECT_EQ(told.at(1).ejected_until, 0);
  EXPECT_STREQ(node.model.findings().front().reason, "answered-since");
}

TEST(OutlierConsensus, ANodeThatSeesItsOwnNetworkCountsForNothing) {
  Node node(6);
  std::vector<gossip::OutlierReport> all;
  for (policy::ReplicaId id = 1; id <= 20; ++id) all.push_back(FailureOf(id));
  // A third of the nodes see every replica fail.
  node.model.OnReport(node.now, "p0", ReportWith(all));
  node.model.OnReport(node.now, "p1", ReportWith(all));
  for (policy::ReplicaId id = 1; id <= 20; ++id) EXPECT_FALSE(node.IsEjected(id));
  // One that says itself that it is in doubt, though it accuses one alone.
  NodeReport suspecting = ReportWith({FailureOf(2)});
  suspecting.suspects_itself = true;
  node.model.OnReport(node.now, "p2", suspecting);
  node.model.OnReport(node.now, "p3", ReportWith({FailureOf(2)}));
  EXPECT_FALSE(node.IsEjected(2));
  // And this node, cut off itself, says so.
  for (policy::ReplicaView& view : node.fleet.all) {
    view.ejected_until = node.now + kSecond;
    view.consecutive_failures = 2;
    view.slowness_updated_at = node.now;
  }
  node.model.ObserveReplicas(node.now, node.fleet.all, false);
  NodeReport own;
  node.model.FillReport(node.now, &own);
  EXPECT_TRUE(own.suspects_itself);
  EXPECT_EQ(own.failing_replicas, 20);
}

TEST(OutlierConsensus, NeverMoreThanAShareOfTheFleetIsEjected) {
  Node node(10);
  // Pairs of accusers, each pair of three replicas of its own: nobody accuses many, together they accuse
  // twelve.
  for (std::size_t i = 0; i < 8; ++i) {
    std::vector<gossip::OutlierReport> outlier_reports;
    for (policy::ReplicaId k = 0; k < 3; ++k)
      outlier_reports.push_back(FailureOf(static_cast<policy::ReplicaId>(i / 2 * 3) + k + 1));
    node.model.OnReport(node.now, "p" + std::to_string(i), ReportWith(outlier_reports));
  }
  std::size_t out = 0;
  for (const auto& [id, t] : node.Evaluate()) out += t.ejected_until > node.now ? 1 : 0;
  EXPECT_EQ(out, 4U);  // a fifth of twenty
}

TEST(OutlierConsensus, WhatIsReportedOfOneThatWasReplacedAtTheSameAddressMeansNothing) {
  Node node(4);
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1, 999)}));
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1, 999)}));
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1)}));
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  node.fleet.at(1).endpoint.started_at = 2000;  // replaced
  EXPECT_FALSE(node.IsEjected(1));
}

TEST(OutlierConsensus, SilenceTakesMoreWhoWaitAndNoAnswerSinceTheyBegan) {
  Node node(6);
  const gossip::OutlierReport stall{1, 1000, 0, 0, 20 * kSecond, 0, 1, 2, 4 * kSecond};
  node.model.OnReport(node.now, "p0", ReportWith({stall}));
  node.model.OnReport(node.now, "p1", ReportWith({stall}));
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p2", ReportWith({stall}));
  EXPECT_TRUE(node.IsEjected(1));
  // Somebody got an answer three seconds ago, so it is only slow.
  node.model.OnReport(node.now, "p3", ReportWith({{1, 1000, 0, 0, 3 * kSecond, 0, 5, 0, 0}}));
  EXPECT_FALSE(node.IsEjected(1));
}

TEST(OutlierConsensus, SlownessIsAMedianThatOneLiarCannotMove) {
  Node node(8);
  const auto slow = [](double s) { return gossip::OutlierReport{1, 1000, 0, 0, kSecond, s, 6, 0, 0}; };
  // One says a thousand times: nothing comes of it while the others find the replica as usual.
  node.model.OnReport(node.now, "p0", ReportWith({slow(4)}));
  node.Evaluate();
  NodeReport asked;  // who is asked says what it found
  policy::ReplicaView& used = node.fleet.at(1);
  used.slowness = 0.05;
  used.slowness_samples = 4;
  used.slowness_updated_at = node.now;
  node.model.ObserveReplicas(node.now, node.fleet.all, false);
  node.model.FillReport(node.now, &asked);
  ASSERT_EQ(asked.outlier_reports.size(), 1U);
  for (const char* p : {"p1", "p2", "p3"}) node.model.OnReport(node.now, p, ReportWith({slow(0.1)}));
  for (const auto& [id, t] : node.Evaluate()) EXPECT_EQ(t.slowness_samples, 0) << id;
  // Most find it slow: it counts, with a weight below an own answer's, whatever the liar says.
  for (const char* p : {"p1", "p2", "p3"}) node.model.OnReport(node.now, p, ReportWith({slow(1.8)}));
  const auto told = node.Evaluate();
  ASSERT_TRUE(told.contains(1));
  EXPECT_NEAR(told.at(1).slowness, 1.8, 0.01);
  EXPECT_LE(told.at(1).slowness_samples, gossip::OutlierConsensusLimits{}.max_peer_samples);
}

TEST(OutlierConsensus, OrphanedAttemptsOfADeadNodeCountUntilTheyMustHaveEnded) {
  Node node(3);
  node.model.OnReport(node.now, "p0", ReportWith({{1, 1000, 2, kSecond, kSecond, 0, 1, 8, 0}}));
  node.Evaluate();
  node.now += 2 * kSecond;
  node.model.SetMembers(node.now, {{"p1", ""}, {"p2", ""}}, "", true);
  auto told = node.Evaluate(0.5);
  ASSERT_TRUE(told.contains(1));
  EXPECT_NEAR(told.at(1).orphaned_in_flight, 4, 1e-9);  // this node's part of eight
  node.now += gossip::OutlierConsensusLimits{}.orphan_lifetime;
  told = node.Evaluate(0.5);
  ASSERT_TRUE(told.contains(1));
  EXPECT_EQ(told.at(1).orphaned_in_flight, 0);
}

// Whatever order messages arrive in and however often, the newest report of each node counts.
RC_GTEST_PROP(OutlierConsensus, AnyOrderAndRepetitionEndsTheSame, ()) {
  gossip::SharedStateModel a("me", 1, 0, {}), b("me", 1, 0, {});
  std::vector<gossip::OutlierConsensusModel::Peer> members;
  for (int i = 0; i < 6; ++i) members.push_back({"p" + std::to_string(i), ""});
  const Time now = 50 * kSecond;
  Fleet fleet(20);
  std::vector<gossip::GossipMessage> messages;
  for (int i = 0; i < 6; ++i) {
    for (std::uint64_t k = 1; k <= 3; ++k) {
      std::vector<gossip::OutlierReport> outlier_reports;
      for (policy::ReplicaId id = 1; id <= 3; ++id) {
        if (*rc::gen::arbitrary<bool>()) outlier_reports.push_back(FailureOf(id));
      }
      NodeReport report = ReportWith(outlier_reports);
      report.sequence = k;
      messages.push_back({"p" + std::to_string(i), static_cast<Time>(4 - k) * kSecond, report});
    }
  }
  std::vector<gossip::GossipMessage> shuffled = messages;
  for (std::size_t i = shuffled.size(); i > 1; --i)
    std::swap(shuffled[i - 1], shuffled[*rc::gen::inRange<std::size_t>(0, i)]);
  shuffled.insert(shuffled.end(), messages.begin(), messages.begin() + 5);
  const auto play = [&](gossip::SharedStateModel& m, const std::vector<gossip::GossipMessage>& all) {
    m.SetMembers(now, members, "", true, true);
    m.ObserveReplicas(now, fleet.all, false);
    for (const gossip::GossipMessage& message : all) m.OnMessage(now, message);
    std::vector<policy::ReplicaId> ejected;
    for (const policy::Event& e : m.Evaluate(now, 7)) {
      const auto* told = std::get_if<policy::PeerReportsReceived>(&e);
      for (std::size_t i = 0; told != nullptr && i < told->replicas.size(); ++i) {
        if (told->replicas[i].ejected_until > now) ejected.push_back(told->replicas[i].id);
      }
    }
    return ejected;
  };
  RC_ASSERT(play(a, messages) == play(b, shuffled));
}

TEST(PrefixTraffic, IsCountedOverAllNodesAndOneLiarIsBounded) {
  gossip::PrefixTrafficModel m("me", 0);
  Time now = 30 * kSecond;
  for (int i = 0; i < 200; ++i) m.OnArrival(now - (i % 20) * kSecond, i % 4 == 0 ? 7 : 8);
  for (int i = 0; i < 5; ++i) {
    NodeReport report = MakeReport(1, 1, 10);
    report.prefix_rates = {{7, 4}, {8, 2}};
    m.OnReport(now, "p" + std::to_string(i), report);
  }
  policy::PrefixTrafficReceived traffic;
  ASSERT_TRUE(m.UpdateShares(now, &traffic));
  ASSERT_EQ(traffic.shares.size(), 2U);
  EXPECT_EQ(traffic.shares[0].first, 7U);
  EXPECT_GT(traffic.shares[0].second, 0.3);
  EXPECT_LT(traffic.shares[0].second, 0.4);
  NodeReport lie = MakeReport(1, 1, 1e6);
  lie.prefix_rates = {{99, 1e6}, {8, 1e6}};
  m.OnReport(now, "liar", lie);
  now += 2 * kSecond;
  m.UpdateShares(now, &traffic);
  for (const auto& [prefix, share] : traffic.shares) {
    EXPECT_NE(prefix, 99U);  // too few tell of it
    EXPECT_LT(share, 0.75);
  }
  EXPECT_TRUE(m.WithdrawAll(&traffic));
  EXPECT_TRUE(traffic.shares.empty());
}

TEST(TrafficShare, OneThatLiesByAThousandLeavesTheOthersABoundedPart) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  const double before = ShareAfter(m, std::vector<double>(9, 20), 20, 40, &now);
  m.OnReport(now, "p0", MakeReport(1, ~std::uint64_t{0}, 20'000));
  const double after = m.UpdateShare(now, 10);
  EXPECT_GT(after, before * 10 / (9 + 1.25 * gossip::kMaxTimesMedian + 1));
  EXPECT_LT(after, before);
}

TEST(GossipSimulation, ReportsSpreadThoughAThirdIsLostAndSomeHearHalfOfTheOthers) {
  emulator::GossipSimulationSpec spec;
  spec.nodes = 48;
  spec.replicas = 100;
  spec.rate = 20;
  spec.loss = 0.3;
  spec.one_way = 6;
  const auto r = emulator::PlayGossipSimulation(spec);
  EXPECT_EQ(r.unheard, 0);
  EXPECT_LT(r.age_p99, 20);
  EXPECT_GT(r.alone_p50, 0);
  EXPECT_LT(r.alone_last, 45);  // every node left every failing replica alone before the end
  EXPECT_LT(r.bytes, 20'000);
}

emulator::ScenarioSpec Day() {
  emulator::ScenarioSpec d;
  d.seconds = 60;
  d.warm = 20;
  d.fleet.nodes = 8;
  d.fleet.replicas = 24;
  d.fleet.skew = 0.8;
  d.clients.per_second = 400;
  return d;
}

TEST(GossipDay, OneSeedOneDayAndSharesThatAddUp) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.fleet.tier.loss = 0.3;
  const auto a = emulator::PlayScenario(d), b = emulator::PlayScenario(d);
  EXPECT_EQ(a.worth, b.worth);
  EXPECT_EQ(a.joint_shares, b.joint_shares);
  EXPECT_EQ(a.breaks.all(), 0U) << a.breaks.Words();
  EXPECT_LE(a.joint_shares, 1.1);
}

TEST(GossipDay, HalvesThatDoNotHearEachOtherStayWithinTheBound) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.faults = {{"talk-cut", 25, 25, 0, 3}};  // three of eight: the five go on by themselves
  const auto r = emulator::PlayScenario(d);
  EXPECT_EQ(r.breaks.all(), 0U) << r.breaks.Words();
  EXPECT_LE(r.joint_shares, 2.0);
  d.faults = {{"talk-cut", 25, 25, 0, 4}};  // even halves: neither side removes the other
  EXPECT_LE(emulator::PlayScenario(d).joint_shares, 1.1);
}

TEST(GossipDay, NodesThatDieAndReturnBreakNoRule) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.faults = {{"node-dies", 25, 15, 0, 5}};
  const auto r = emulator::PlayScenario(d);
  EXPECT_EQ(r.breaks.all(), 0U) << r.breaks.Words();
}

// Worth that stays down after its cause is over shows, and worth that is back shows when.
TEST(GossipDay, WhenADayIsBackIsSeenAndThatItNeverIs) {
  std::vector<emulator::Second> day(60);
  for (std::size_t s = 0; s < day.size(); ++s) {
    day[s].worth_asked = 10;
    day[s].worth = s < 20 ? 9 : s < 33 ? 2 : 9;
  }
  EXPECT_NEAR(emulator::BackAfter(day, 60, 5, 20, 25), 8, 0.01);
  for (std::size_t s = 33; s < day.size(); ++s) day[s].worth = 5;
  EXPECT_NEAR(emulator::BackAfter(day, 60, 5, 20, 25), 35, 0.01);
  for (std::size_t s = 25; s < day.size(); ++s) day[s].worth = 8.6;  // 95.6% of it
  EXPECT_NEAR(emulator::BackAfter(day, 60, 5, 20, 25), 0, 0.01);
  day[31].worth = 0;  // good for a moment is not back
  EXPECT_GT(emulator::BackAfter(day, 60, 5, 20, 25), 5);
}

// It knows what comes to it after a second, and the others must have heard that before its part rises.
TEST(TrafficShare, ANodeThatHasJustStartedTakesPartAtAGrowingShare) {
  Time now = kSecond;
  TrafficShareModel m("me", 1, now);
  const std::vector<double> others(9, 20);
  const double first = ShareAfter(m, others, 20, 2, &now);
  EXPECT_LT(first, 0.03);  // what a node without traffic gets
  EXPECT_GT(first, 0.01);
  double last = first;
  for (int s = 0; s < 20; ++s) {
    const double next = ShareAfter(m, others, 20, 1, &now);
    EXPECT_GE(next, last * 0.9);
    last = next;
  }
  EXPECT_NEAR(last, 0.1, 0.01);
  // All start at once: nobody has anything to go by, and each has its equal part until rates are told.
  TrafficShareModel fresh("me", 1, now);
  EXPECT_NEAR(ShareAfter(fresh, std::vector<double>(9, 0), 0, 2, &now), 0.1, 0.001);
}

TEST(GossipDay, OutlierReportsSpareMostOfTheErrorsAndOneThatLiesTakesNothing) {
  emulator::ScenarioSpec d = Day();
  d.fleet.nodes = 24;
  d.clients.per_second = 200;
  emulator::FaultSpec bad;
  bad.what = "fails";
  bad.at = 25;
  bad.lasts = 20;
  bad.count = 3;
  d.faults = {bad};
  const auto alone = emulator::PlayScenario(d);
  d.fleet.tier.talk = "talk-evidence";
  d.fleet.tier.loss = 0.3;
  const auto told = emulator::PlayScenario(d);
  EXPECT_EQ(told.breaks.all(), 0U) << told.breaks.Words();
  EXPECT_LT(told.errors, alone.errors * 2 / 3);
  EXPECT_GE(told.Share(), alone.Share() - 0.02);
  // Nobody fails, but one says that all do.
  d.faults.clear();
  const auto calm = emulator::PlayScenario(d);
  d.fleet.tier.liar = 5;
  const auto lied_to = emulator::PlayScenario(d);
  EXPECT_GE(lied_to.Share(), calm.Share() - 0.01);
  EXPECT_EQ(lied_to.breaks.all(), 0U);
}

}  // namespace
}  // namespace ryeglade
