// Gossip: traffic shares that add up despite losses, delays, deaths and partitions; messages from untrusted
// peers; the consensus on outliers; the traffic of prefixes.
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

// Runs the model for `seconds` with `own_rate` requests per second and a stable view of peers that report
// `rates`. Returns its share at the end.
double ShareAfter(TrafficShareModel& model, const std::vector<double>& rates, double own_rate, int seconds,
                  Time* now) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < rates.size(); ++i) names.push_back("p" + std::to_string(i));
  double share = 0;
  for (int step = 0; step < 2 * seconds; ++step, *now += kSecond / 2) {
    for (int request = 0; request < static_cast<int>(own_rate / 2); ++request) model.OnArrival(*now);
    model.SetMembers(*now, names, true, true);
    model.NextReport(*now);
    for (std::size_t i = 0; i < rates.size(); ++i)
      model.OnReport(*now, names[i], MakeReport(1, static_cast<std::uint64_t>(*now), rates[i]));
    share = model.UpdateShare(*now, rates.size() + 1);
  }
  return share;
}

TEST(TrafficShare, ANodeWithMoreTrafficHasALargerShare) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  // 60 of 60 + 3 * 20 requests per second, plus a quarter of the mean rate (30) for each of the four nodes.
  EXPECT_NEAR(ShareAfter(model, {20, 20, 20}, 60, 40, &now), (60 + 7.5) / (120 + 30), 0.03);
  EXPECT_STREQ(model.state(), "shares");
  const auto shares = model.Explain(now);
  ASSERT_EQ(shares.size(), 4U);
  EXPECT_EQ(shares.front().node, "me");
}

TEST(TrafficShare, AShareFallsAtOnceAndRisesOnlyAfterTheRiseDelay) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  const double initial = ShareAfter(model, {20, 20}, 20, 40, &now);
  // Another node gets ten times the traffic: this node's share falls with the first report of it.
  model.OnReport(now, "p0", MakeReport(1, 1'000'000'000, 200));
  const double fallen = model.UpdateShare(now, 3);
  EXPECT_LT(fallen, initial / 2);
  // The other's traffic is back to normal: the share rises only after the delay.
  model.OnReport(now + 1, "p0", MakeReport(1, 1'000'000'001, 20));
  EXPECT_EQ(model.UpdateShare(now + kSecond, 3), fallen);
  EXPECT_EQ(model.UpdateShare(now + 2 * kSecond, 3), fallen);
  now += 4 * kSecond;
  EXPECT_GT(ShareAfter(model, {20, 20}, 20, 10, &now), 1.5 * fallen);
}

TEST(TrafficShare, IgnoresReportsThatAreOutOfBoundsOutdatedOrNotFromMembers) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  ShareAfter(model, {20, 20}, 20, 40, &now);
  const double initial = model.UpdateShare(now, 3);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double rate : {nan, -5.0, 1e18, std::numeric_limits<double>::infinity()})
    model.OnReport(now, "p0", MakeReport(9, 9'000'000'000, rate));
  model.OnReport(now, "stranger", MakeReport(1, 1, 1000));
  model.OnReport(now, "p0", MakeReport(1, 1, 1000));  // older than the known report
  model.OnReport(now, "me", MakeReport(5, 5, 1000));  // a report under this node's own name
  EXPECT_EQ(model.UpdateShare(now, 3), initial);
  // A report of a newer process counts, whatever its sequence number.
  model.OnReport(now, "p0", MakeReport(2, 1, 1000));
  EXPECT_LT(model.UpdateShare(now, 3), initial);
}

TEST(TrafficShare, WithAnUncertainViewAShareIsFrozenAndThenMovesInStepsToTheEqualShare) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  const double initial = ShareAfter(model, {10, 10, 10}, 60, 40, &now);
  model.SetMembers(now, {}, false, false);
  EXPECT_EQ(model.UpdateShare(now + 20 * kSecond, 4), initial);
  EXPECT_STREQ(model.state(), "held");
  double last = model.UpdateShare(now + 31 * kSecond, 4);
  int steps = 0;
  for (Time time = now + 31 * kSecond; last > 0.25 && steps < 1000; time += kSecond / 2, ++steps) {
    const double next = model.UpdateShare(time, 4);
    EXPECT_GE(next, last * 0.9);  // no step is larger than a tenth
    last = next;
  }
  EXPECT_EQ(last, 0.25);
  EXPECT_GT(steps, 10);
  EXPECT_STREQ(model.state(), "equal");
}

TEST(TrafficShare, TakesOnlyABoundedPartOfTheSharesOfAbsentMembersUntilTheViewIsStable) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  const double initial = ShareAfter(model, {20, 20, 20, 20}, 20, 40, &now);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    // Three members are missing from the view, which is not stable yet.
    model.SetMembers(now, {"p0"}, true, false);
    model.OnReport(now, "p0", MakeReport(1, static_cast<std::uint64_t>(now), 20));
    model.UpdateShare(now, 5);
  }
  EXPECT_LE(model.UpdateShare(now, 5), 1.5 * initial + 1e-9);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    model.SetMembers(now, {"p0"}, true, true);
    model.UpdateShare(now, 5);
  }
  EXPECT_GT(model.UpdateShare(now, 5), 2 * initial);
}

// With random losses of messages and randomly changing rates the sum of all shares stays near 1.
RC_GTEST_PROP(TrafficShare, AddUpDespiteLossesAndChangingRates, ()) {
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
  for (int step = 0; step < 240; ++step, now += kSecond / 2) {
    if (step % 20 == 19) rates[static_cast<std::size_t>(draw() * static_cast<double>(n))] = 5 + 100 * draw();
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) {
      for (int request = 0; request < static_cast<int>(rates[i] / 2); ++request) nodes[i].OnArrival(now);
      nodes[i].SetMembers(now, names, true, true);
      const auto report = nodes[i].NextReport(now);
      for (std::size_t receiver = 0; report && receiver < n; ++receiver) {
        if (receiver != i && draw() >= loss) nodes[receiver].OnReport(now, names[i], *report);
      }
    }
    for (std::size_t i = 0; i < n; ++i) sum += nodes[i].UpdateShare(now, n);
    RC_ASSERT(sum <= 1.1);
    if (step > 60) RC_ASSERT(sum >= 0.3);
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

TEST(GossipMessages, TheLargestMessageFitsAndIsDecodedUnchanged) {
  const gossip::GossipMessage message{std::string(64, 'n'), gossip::kMaxAge, LargestReport()};
  const std::string bytes = gossip::Encode(message);
  EXPECT_LE(bytes.size(), gossip::kMaxMessageBytes);
  const char* why = "";
  const auto decoded = gossip::Decode(bytes, &why);
  ASSERT_TRUE(decoded) << why;
  EXPECT_EQ(decoded->node, message.node);
  EXPECT_EQ(decoded->age, message.age);
  ASSERT_EQ(decoded->report.outlier_reports.size(), gossip::kMaxOutlierReports);
  const gossip::OutlierReport &a = decoded->report.outlier_reports[3], &b = message.report.outlier_reports[3];
  EXPECT_EQ(std::tie(a.replica, a.started_at, a.consecutive_failures, a.ejected_for, a.last_outcome_age,
                     a.slowness, a.slowness_samples, a.in_flight, a.stalled_for),
            std::tie(b.replica, b.started_at, b.consecutive_failures, b.ejected_for, b.last_outcome_age,
                     b.slowness, b.slowness_samples, b.in_flight, b.stalled_for));
  EXPECT_EQ(decoded->report.prefix_rates.back().rate, gossip::kMaxRate);
}

TEST(GossipMessages, EncodesNaNAsZeroAndClampsValuesOutOfRange) {
  NodeReport report;
  const double nan = std::numeric_limits<double>::quiet_NaN();
  report.rate = nan;
  report.outlier_reports = {
      {1, 0, -5, -7, -1, nan, -3, -1, -1},
      {2, 0, 9999, Time{1} << 60, 1 + gossip::kMaxSpan, 1e300, 1e300, 9999, Time{1} << 60}};
  report.prefix_rates = {{1, -1}, {2, 1e300}};
  const char* why = "";
  const auto decoded = gossip::Decode(gossip::Encode({"n", -5, report}), &why);
  ASSERT_TRUE(decoded) << why;
  EXPECT_EQ(decoded->report.rate, 0);
  EXPECT_EQ(decoded->report.outlier_reports[0].slowness, 0);
  EXPECT_EQ(decoded->report.outlier_reports[0].consecutive_failures, 0);
  EXPECT_EQ(decoded->report.outlier_reports[1].consecutive_failures, 255);
  EXPECT_EQ(decoded->report.outlier_reports[1].slowness, 4);
  EXPECT_EQ(decoded->report.outlier_reports[1].last_outcome_age, -1);
  EXPECT_EQ(decoded->report.prefix_rates[1].rate, gossip::kMaxRate);
}

// Truncated or changed bytes are either rejected or decoded to values within their bounds.
RC_GTEST_PROP(GossipMessages, AnyBytesAreRejectedOrDecodedWithinBounds, ()) {
  std::string bytes = gossip::Encode({"n1", 1000, LargestReport()});
  const auto cut = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
  bytes.resize(cut);
  for (const auto& [at, value] : *rc::gen::container<std::vector<std::pair<std::size_t, char>>>(
           rc::gen::pair(rc::gen::inRange<std::size_t>(0, 1200), rc::gen::arbitrary<char>()))) {
    if (at < bytes.size()) bytes[at] = value;
  }
  const char* why = "";
  const auto message = gossip::Decode(bytes, &why);
  if (!message) {
    RC_ASSERT(std::string(why) == "malformed" || std::string(why) == "range" || std::string(why) == "form");
    return;
  }
  RC_ASSERT(message->report.outlier_reports.size() <= gossip::kMaxOutlierReports &&
            message->report.prefix_rates.size() <= gossip::kMaxPrefixRates);
  RC_ASSERT(message->report.rate >= 0 && message->report.rate <= gossip::kMaxRate);
  for (const gossip::OutlierReport& outlier : message->report.outlier_reports)
    RC_ASSERT(std::abs(outlier.slowness) <= 4 && outlier.ejected_for >= 0 &&
              outlier.ejected_for <= gossip::kMaxSpan);
}

TEST(GossipQueue, SendsEachReportAFewTimesLeastSentFirstAndReplacesItByANewerOne) {
  gossip::GossipQueue queue;
  for (int i = 0; i < 40; ++i) queue.Enqueue(0, {"n" + std::to_string(i), 0, MakeReport(1, 1, i)}, i == 0);
  std::map<std::string, int> sent;
  const char* why = "";
  for (int i = 0; i < 1000 && queue.has_pending(); ++i) {
    std::size_t size = 0;
    for (const std::string& bytes : queue.TakeMessages(kSecond, 200, 5)) {
      size += bytes.size() + 5;
      const auto message = gossip::Decode(bytes, &why);
      ASSERT_TRUE(message) << why;
      EXPECT_EQ(message->age, kSecond);  // the time that it was queued
      ++sent[message->node];
    }
    EXPECT_LE(size, 200U);
    if (i == 3) {
      // Reports are sent in turn: after four messages none has been sent more than twice.
      for (const auto& [name, n] : sent) EXPECT_LE(n, 2) << name;
    }
  }
  EXPECT_EQ(sent.size(), 40U);
  for (const auto& [name, n] : sent)
    EXPECT_EQ(n, name == "n0" ? gossip::GossipQueue::kOwnSends : gossip::GossipQueue::kForwards);
  queue.Enqueue(0, {"n1", 0, MakeReport(1, 2, 7)}, false);
  EXPECT_TRUE(queue.has_pending());
  EXPECT_EQ(queue.size(), 40U);
  EXPECT_TRUE(queue.TakeMessages(2 * gossip::kMaxAge, 1000, 5).empty());  // too old to be forwarded
  EXPECT_FALSE(queue.has_pending());
}

// ---- Outlier consensus ----

struct TestFleet {
  std::vector<policy::ReplicaView> all;
  explicit TestFleet(std::size_t n) {
    for (std::size_t i = 0; i < n; ++i) {
      policy::ReplicaView view;
      view.endpoint.id = static_cast<policy::ReplicaId>(i + 1);
      view.endpoint.started_at = 1000;
      all.push_back(view);
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

// A node that observes no outliers itself, among `n` other nodes, which are spread over `zones` zones.
struct TestNode {
  TestFleet fleet{20};
  gossip::OutlierConsensusModel model{"me", gossip::OutlierConsensusLimits{}};
  Time now = 100 * kSecond;
  explicit TestNode(std::size_t n, std::size_t zones = 1) {
    std::vector<gossip::OutlierConsensusModel::Peer> members;
    for (std::size_t i = 0; i < n; ++i)
      members.push_back({"p" + std::to_string(i), zones > 1 ? "z" + std::to_string(i % zones) : ""});
    model.ObserveReplicas(now, fleet.all, false);
    model.SetMembers(now, members, zones > 1 ? "z0" : "", true);
  }
  // Returns the reports for the decision module by replica.
  std::map<policy::ReplicaId, policy::PeerReplicaReport> Evaluate(double share = 0.1) {
    std::map<policy::ReplicaId, policy::PeerReplicaReport> reports;
    model.ObserveReplicas(now, fleet.all, false);
    for (const auto& report : model.Evaluate(now, share)) reports[report.id] = report;
    return reports;
  }
  bool IsEjected(policy::ReplicaId id) {
    const auto reports = Evaluate();
    return reports.contains(id) && reports.at(id).ejected_until > now;
  }
};

TEST(OutlierConsensus, EjectionRequiresTwoReportersAndNoRecentAnswerOfThisNode) {
  TestNode node(4);
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1)}));
  EXPECT_FALSE(node.IsEjected(1));
  EXPECT_STREQ(node.model.findings().front().reason, "too-few-accusers");
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  // The replica answered this node a moment ago.
  node.fleet.at(1).slowness_updated_at = node.now - kSecond / 4;
  EXPECT_TRUE(node.Evaluate().contains(1));
  EXPECT_EQ(node.model.findings().front().ejected_until, 0);
}

TEST(OutlierConsensus, WithSeveralZonesTheReportersMustBeInTwoZonesOrInThisNodesOwn) {
  TestNode node(6, 3);
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  node.model.OnReport(node.now, "p4",
                      ReportWith({FailureOf(1)}));  // in the same zone as p1, which is not this node's
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p2", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  // Two reporters in this node's own zone suffice: a fault of their network affects this node too.
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(2)}));
  node.model.OnReport(node.now, "p3", ReportWith({FailureOf(2)}));
  EXPECT_TRUE(node.IsEjected(2));
}

TEST(OutlierConsensus, AnAnswerToAnyNodeSinceTheFailuresEndsTheEjection) {
  TestNode node(8);
  for (const char* p : {"p0", "p1", "p2", "p3", "p4", "p5"})
    node.model.OnReport(node.now, p, ReportWith({FailureOf(1)}));
  ASSERT_TRUE(node.IsEjected(1));
  gossip::OutlierReport good{1, 1000, 0, 0, kSecond / 10, 0, 5, 0, 0};
  node.now += kSecond;
  node.model.OnReport(node.now, "p6", ReportWith({good}));
  const auto reports = node.Evaluate();
  ASSERT_TRUE(reports.contains(1));
  EXPECT_EQ(reports.at(1).ejected_until, 0);
  EXPECT_STREQ(node.model.findings().front().reason, "answered-since");
}

TEST(OutlierConsensus, ReportsOfNodesWithAFaultyNetworkAreIgnored) {
  TestNode node(6);
  std::vector<gossip::OutlierReport> all;
  for (policy::ReplicaId id = 1; id <= 20; ++id) all.push_back(FailureOf(id));
  // For a third of the nodes every replica fails.
  node.model.OnReport(node.now, "p0", ReportWith(all));
  node.model.OnReport(node.now, "p1", ReportWith(all));
  for (policy::ReplicaId id = 1; id <= 20; ++id) EXPECT_FALSE(node.IsEjected(id));
  // A node that suspects itself, although it reports only one replica.
  NodeReport report_of_p2 = ReportWith({FailureOf(2)});
  report_of_p2.suspects_itself = true;
  node.model.OnReport(node.now, "p2", report_of_p2);
  node.model.OnReport(node.now, "p3", ReportWith({FailureOf(2)}));
  EXPECT_FALSE(node.IsEjected(2));
  // This node, if every replica fails for it, reports that it suspects itself.
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
  TestNode node(10);
  // Four pairs of reporters, each pair for three other replicas: no node reports many, but together they
  // report twelve.
  for (std::size_t i = 0; i < 8; ++i) {
    std::vector<gossip::OutlierReport> outlier_reports;
    for (policy::ReplicaId k = 0; k < 3; ++k)
      outlier_reports.push_back(FailureOf(static_cast<policy::ReplicaId>(i / 2 * 3) + k + 1));
    node.model.OnReport(node.now, "p" + std::to_string(i), ReportWith(outlier_reports));
  }
  std::size_t ejected = 0;
  for (const auto& [id, report] : node.Evaluate()) ejected += report.ejected_until > node.now ? 1 : 0;
  EXPECT_EQ(ejected, 4U);  // a fifth of twenty
}

TEST(OutlierConsensus, ReportsOnAReplicaThatHasRestartedAreIgnored) {
  TestNode node(4);
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1, 999)}));
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1, 999)}));
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p0", ReportWith({FailureOf(1)}));
  node.model.OnReport(node.now, "p1", ReportWith({FailureOf(1)}));
  EXPECT_TRUE(node.IsEjected(1));
  node.fleet.at(1).endpoint.started_at = 2000;  // restarted
  EXPECT_FALSE(node.IsEjected(1));
}

TEST(OutlierConsensus, StallsRequireThreeReportersAndNoAnswerSinceTheyBegan) {
  TestNode node(6);
  const gossip::OutlierReport stall{1, 1000, 0, 0, 20 * kSecond, 0, 1, 2, 4 * kSecond};
  node.model.OnReport(node.now, "p0", ReportWith({stall}));
  node.model.OnReport(node.now, "p1", ReportWith({stall}));
  EXPECT_FALSE(node.IsEjected(1));
  node.model.OnReport(node.now, "p2", ReportWith({stall}));
  EXPECT_TRUE(node.IsEjected(1));
  // Another node got an answer three seconds ago, so the replica is only slow.
  node.model.OnReport(node.now, "p3", ReportWith({{1, 1000, 0, 0, 3 * kSecond, 0, 5, 0, 0}}));
  EXPECT_FALSE(node.IsEjected(1));
}

TEST(OutlierConsensus, OneFalseReportDoesNotMoveTheMedianSlowness) {
  TestNode node(8);
  const auto slow = [](double slowness) {
    return gossip::OutlierReport{1, 1000, 0, 0, kSecond, slowness, 6, 0, 0};
  };
  // One node reports the highest slowness. It has no effect while the others find the replica normal.
  node.model.OnReport(node.now, "p0", ReportWith({slow(4)}));
  node.Evaluate();
  NodeReport own_report;  // once a node reports slowness, this node reports what it observes
  policy::ReplicaView& own_view = node.fleet.at(1);
  own_view.slowness = 0.05;
  own_view.slowness_samples = 4;
  own_view.slowness_updated_at = node.now;
  node.model.ObserveReplicas(node.now, node.fleet.all, false);
  node.model.FillReport(node.now, &own_report);
  ASSERT_EQ(own_report.outlier_reports.size(), 1U);
  for (const char* p : {"p1", "p2", "p3"}) node.model.OnReport(node.now, p, ReportWith({slow(0.1)}));
  for (const auto& [id, report] : node.Evaluate()) EXPECT_EQ(report.slowness_samples, 0) << id;
  // Once most nodes find the replica slow, their median counts, with a lower weight than this node's own
  // answers.
  for (const char* p : {"p1", "p2", "p3"}) node.model.OnReport(node.now, p, ReportWith({slow(1.8)}));
  const auto reports = node.Evaluate();
  ASSERT_TRUE(reports.contains(1));
  EXPECT_NEAR(reports.at(1).slowness, 1.8, 0.01);
  EXPECT_LE(reports.at(1).slowness_samples, gossip::OutlierConsensusLimits{}.max_peer_samples);
}

TEST(OutlierConsensus, OrphanedAttemptsOfADeadNodeCountUntilTheyMustHaveEnded) {
  TestNode node(3);
  node.model.OnReport(node.now, "p0", ReportWith({{1, 1000, 2, kSecond, kSecond, 0, 1, 8, 0}}));
  node.Evaluate();
  node.now += 2 * kSecond;
  node.model.SetMembers(node.now, {{"p1", ""}, {"p2", ""}}, "", true);
  auto reports = node.Evaluate(0.5);
  ASSERT_TRUE(reports.contains(1));
  EXPECT_NEAR(reports.at(1).orphaned_in_flight, 4, 1e-9);  // half of eight
  node.now += gossip::OutlierConsensusLimits{}.orphan_lifetime;
  reports = node.Evaluate(0.5);
  ASSERT_TRUE(reports.contains(1));
  EXPECT_EQ(reports.at(1).orphaned_in_flight, 0);
}

// The newest report of each node counts, in whatever order and however often messages arrive.
RC_GTEST_PROP(OutlierConsensus, AnyOrderAndRepetitionOfMessagesGivesTheSameResult, ()) {
  gossip::SharedStateModel a("me", 1, 0, {}), b("me", 1, 0, {});
  std::vector<gossip::OutlierConsensusModel::Peer> members;
  for (int i = 0; i < 6; ++i) members.push_back({"p" + std::to_string(i), ""});
  const Time now = 50 * kSecond;
  TestFleet fleet(20);
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
  const auto evaluate = [&](gossip::SharedStateModel& model, const std::vector<gossip::GossipMessage>& all) {
    model.SetMembers(now, members, "", true, true);
    model.ObserveReplicas(now, fleet.all, false);
    for (const gossip::GossipMessage& message : all) model.OnMessage(now, message);
    std::vector<policy::ReplicaId> ejected;
    for (const policy::Event& event : model.Evaluate(now, 7)) {
      const auto* reports = std::get_if<policy::PeerReportsReceived>(&event);
      for (std::size_t i = 0; reports != nullptr && i < reports->replicas.size(); ++i) {
        if (reports->replicas[i].ejected_until > now) ejected.push_back(reports->replicas[i].id);
      }
    }
    return ejected;
  };
  RC_ASSERT(evaluate(a, messages) == evaluate(b, shuffled));
}

TEST(PrefixTraffic, IsSummedOverAllNodesAndOneFalseReportIsBounded) {
  gossip::PrefixTrafficModel model("me", 0);
  Time now = 30 * kSecond;
  for (int i = 0; i < 200; ++i) model.OnArrival(now - (i % 20) * kSecond, i % 4 == 0 ? 7 : 8);
  for (int i = 0; i < 5; ++i) {
    NodeReport report = MakeReport(1, 1, 10);
    report.prefix_rates = {{7, 4}, {8, 2}};
    model.OnReport(now, "p" + std::to_string(i), report);
  }
  policy::PrefixTrafficReceived traffic;
  ASSERT_TRUE(model.UpdateShares(now, &traffic));
  ASSERT_EQ(traffic.shares.size(), 2U);
  EXPECT_EQ(traffic.shares[0].first, 7U);
  EXPECT_GT(traffic.shares[0].second, 0.3);
  EXPECT_LT(traffic.shares[0].second, 0.4);
  NodeReport false_report = MakeReport(1, 1, 1e6);
  false_report.prefix_rates = {{99, 1e6}, {8, 1e6}};
  model.OnReport(now, "liar", false_report);
  now += 2 * kSecond;
  model.UpdateShares(now, &traffic);
  for (const auto& [prefix, share] : traffic.shares) {
    EXPECT_NE(prefix, 99U);  // reported by too few nodes
    EXPECT_LT(share, 0.75);
  }
  EXPECT_TRUE(model.WithdrawAll(&traffic));
  EXPECT_TRUE(traffic.shares.empty());
}

TEST(TrafficShare, ANodeThatReportsAThousandfoldRateTakesABoundedShare) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  const double before = ShareAfter(model, std::vector<double>(9, 20), 20, 40, &now);
  model.OnReport(now, "p0", MakeReport(1, ~std::uint64_t{0}, 20'000));
  const double after = model.UpdateShare(now, 10);
  EXPECT_GT(after, before * 10 / (9 + 1.25 * gossip::kMaxTimesMedian + 1));
  EXPECT_LT(after, before);
}

TEST(GossipSimulation, ReportsSpreadDespiteLossesAndOneWayCuts) {
  emulator::GossipSimulationSpec spec;
  spec.nodes = 48;
  spec.replicas = 100;
  spec.rate = 20;
  spec.loss = 0.3;
  spec.one_way = 6;
  const auto result = emulator::RunGossipSimulation(spec);
  EXPECT_EQ(result.unknown_share, 0);
  EXPECT_LT(result.age_p99, 20);
  EXPECT_GT(result.ejection_p50, 0);
  EXPECT_LT(result.ejection_last, 45);  // every node ejected every failing replica before the end
  EXPECT_LT(result.bytes, 20'000);
}

emulator::ScenarioSpec BaseScenario() {
  emulator::ScenarioSpec scenario;
  scenario.seconds = 60;
  scenario.warm_up_s = 20;
  scenario.fleet.nodes = 8;
  scenario.fleet.replicas = 24;
  scenario.fleet.skew = 0.8;
  scenario.clients.per_second = 400;
  return scenario;
}

TEST(GossipScenario, SameSeedGivesTheSameRunAndSharesAddUp) {
  emulator::ScenarioSpec scenario = BaseScenario();
  scenario.fleet.tier.gossip_mode = "talk-parts";
  scenario.fleet.tier.loss = 0.3;
  const auto a = emulator::RunScenario(scenario), b = emulator::RunScenario(scenario);
  EXPECT_EQ(a.worth, b.worth);
  EXPECT_EQ(a.joint_shares, b.joint_shares);
  EXPECT_EQ(a.violations.all(), 0U) << a.violations.Describe();
  EXPECT_LE(a.joint_shares, 1.1);
}

TEST(GossipScenario, SharesOfPartitionedHalvesStayWithinTheBound) {
  emulator::ScenarioSpec scenario = BaseScenario();
  scenario.fleet.tier.gossip_mode = "talk-parts";
  scenario.faults = {{"talk-cut", 25, 25, 0, 3}};  // three of eight are cut off; the five remove them
  const auto result = emulator::RunScenario(scenario);
  EXPECT_EQ(result.violations.all(), 0U) << result.violations.Describe();
  EXPECT_LE(result.joint_shares, 2.0);
  scenario.faults = {{"talk-cut", 25, 25, 0, 4}};  // even halves: neither side removes the other
  EXPECT_LE(emulator::RunScenario(scenario).joint_shares, 1.1);
}

TEST(GossipScenario, NodesThatDieAndReturnBreakNoInvariant) {
  emulator::ScenarioSpec scenario = BaseScenario();
  scenario.fleet.tier.gossip_mode = "talk-parts";
  scenario.faults = {{"node-dies", 25, 15, 0, 5}};
  const auto result = emulator::RunScenario(scenario);
  EXPECT_EQ(result.violations.all(), 0U) << result.violations.Describe();
}

// TimeToRecovery returns how long it took until the worth per second was back to its level from before a
// fault.
TEST(GossipScenario, RecoveryTimeIsFoundAlsoIfThereIsNoRecovery) {
  std::vector<emulator::SecondStats> seconds(60);
  for (std::size_t s = 0; s < seconds.size(); ++s) {
    seconds[s].worth_asked = 10;
    seconds[s].worth = s < 20 ? 9 : s < 33 ? 2 : 9;
  }
  EXPECT_NEAR(emulator::TimeToRecovery(seconds, 60, 5, 20, 25), 8, 0.01);
  for (std::size_t s = 33; s < seconds.size(); ++s) seconds[s].worth = 5;
  EXPECT_NEAR(emulator::TimeToRecovery(seconds, 60, 5, 20, 25), 35, 0.01);
  for (std::size_t s = 25; s < seconds.size(); ++s) seconds[s].worth = 8.6;  // 95.6 % of the level before
  EXPECT_NEAR(emulator::TimeToRecovery(seconds, 60, 5, 20, 25), 0, 0.01);
  seconds[31].worth = 0;  // a recovery must last
  EXPECT_GT(emulator::TimeToRecovery(seconds, 60, 5, 20, 25), 5);
}

// A new node knows its own rate after a second, but its share rises only after the others have had time to
// receive that rate.
TEST(TrafficShare, TheShareOfANewNodeGrowsGradually) {
  Time now = kSecond;
  TrafficShareModel model("me", 1, now);
  const std::vector<double> others(9, 20);
  const double first = ShareAfter(model, others, 20, 2, &now);
  EXPECT_LT(first, 0.03);  // about the share of a node without traffic
  EXPECT_GT(first, 0.01);
  double last = first;
  for (int second = 0; second < 20; ++second) {
    const double next = ShareAfter(model, others, 20, 1, &now);
    EXPECT_GE(next, last * 0.9);
    last = next;
  }
  EXPECT_NEAR(last, 0.1, 0.01);
  // If all nodes start at once, each has the equal share until rates are reported.
  TrafficShareModel fresh("me", 1, now);
  EXPECT_NEAR(ShareAfter(fresh, std::vector<double>(9, 0), 0, 2, &now), 0.1, 0.001);
}

TEST(GossipScenario, OutlierReportsPreventErrorsAndOneFalseReporterDoesNoHarm) {
  emulator::ScenarioSpec scenario = BaseScenario();
  scenario.fleet.nodes = 24;
  scenario.clients.per_second = 200;
  emulator::FaultSpec fault;
  fault.what = "fails";
  fault.at = 25;
  fault.lasts = 20;
  fault.count = 3;
  scenario.faults = {fault};
  const auto without_gossip = emulator::RunScenario(scenario);
  scenario.fleet.tier.gossip_mode = "talk-evidence";
  scenario.fleet.tier.loss = 0.3;
  const auto with_gossip = emulator::RunScenario(scenario);
  EXPECT_EQ(with_gossip.violations.all(), 0U) << with_gossip.violations.Describe();
  EXPECT_LT(with_gossip.errors, without_gossip.errors * 2 / 3);
  EXPECT_GE(with_gossip.Share(), without_gossip.Share() - 0.02);
  // No replica fails, but one node reports that all do.
  scenario.faults.clear();
  const auto without_false_reporter = emulator::RunScenario(scenario);
  scenario.fleet.tier.byzantine_node = 5;
  const auto with_false_reporter = emulator::RunScenario(scenario);
  EXPECT_GE(with_false_reporter.Share(), without_false_reporter.Share() - 0.01);
  EXPECT_EQ(with_false_reporter.violations.all(), 0U);
}

}  // namespace
}  // namespace ryeglade
