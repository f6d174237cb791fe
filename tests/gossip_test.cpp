// Shares of the tier's traffic: that all nodes' parts add up, whatever is lost, late, dead or cut off.
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

using gossip::ShareModel;
using gossip::Time;
using gossip::Word;

constexpr Time kSecond = 1'000'000;

Word Of(std::uint64_t life, std::uint64_t number, double rate) {
  Word w;
  w.life = life, w.number = number, w.rate = rate;
  return w;
}

// A node that hears of others with rates of `rates`, all sure, for `seconds`.
double ShareAfter(ShareModel& m, const std::vector<double>& rates, double own, int seconds, Time* now) {
  std::vector<std::string> names;
  for (std::size_t i = 0; i < rates.size(); ++i) names.push_back("p" + std::to_string(i));
  double share = 0;
  for (int half = 0; half < 2 * seconds; ++half, *now += kSecond / 2) {
    for (int k = 0; k < static_cast<int>(own / 2); ++k) m.Arrived(*now);
    m.View(*now, names, true, true);
    m.Tell(*now);
    for (std::size_t i = 0; i < rates.size(); ++i)
      m.Learn(*now, names[i], Of(1, static_cast<std::uint64_t>(*now), rates[i]));
    share = m.Share(*now, rates.size() + 1);
  }
  return share;
}

TEST(Shares, ANodeThatGetsMoreHasALargerPart) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  // 60 of 60 + 3 * 20 requests, with a quarter of the mean (30) for each of the four on top.
  EXPECT_NEAR(ShareAfter(m, {20, 20, 20}, 60, 40, &now), (60 + 7.5) / (120 + 30), 0.03);
  EXPECT_STREQ(m.state(), "shares");
  const auto lines = m.Explain(now);
  ASSERT_EQ(lines.size(), 4U);
  EXPECT_EQ(lines.front().node, "me");
}

TEST(Shares, APartFallsAtOnceAndRisesOnlyWhenOthersHaveHadTimeToHear) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  const double before = ShareAfter(m, {20, 20}, 20, 40, &now);
  // Another gets ten times the traffic: this part falls with the first word of it.
  m.Learn(now, "p0", Of(1, 1'000'000'000, 200));
  const double fallen = m.Share(now, 3);
  EXPECT_LT(fallen, before / 2);
  // It is over: not before the span to settle has passed.
  m.Learn(now + 1, "p0", Of(1, 1'000'000'001, 20));
  EXPECT_EQ(m.Share(now + kSecond, 3), fallen);
  EXPECT_EQ(m.Share(now + 2 * kSecond, 3), fallen);
  now += 4 * kSecond;
  EXPECT_GT(ShareAfter(m, {20, 20}, 20, 10, &now), 1.5 * fallen);
}

TEST(Shares, WordsOutOfBoundsOldOnesAndStrangersMoveNothing) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  ShareAfter(m, {20, 20}, 20, 40, &now);
  const double before = m.Share(now, 3);
  const double nan = std::numeric_limits<double>::quiet_NaN();
  for (const double rate : {nan, -5.0, 1e18, std::numeric_limits<double>::infinity()})
    m.Learn(now, "p0", Of(9, 9'000'000'000, rate));
  m.Learn(now, "stranger", Of(1, 1, 1000));
  m.Learn(now, "p0", Of(1, 1, 1000));  // older than what was heard
  m.Learn(now, "me", Of(5, 5, 1000));  // of this node's own name
  EXPECT_EQ(m.Share(now, 3), before);
  // A process that has started anew counts, whatever its numbers.
  m.Learn(now, "p0", Of(2, 1, 1000));
  EXPECT_LT(m.Share(now, 3), before);
}

TEST(Shares, InDoubtAPartIsHeldAndThenGoesBackByStepsToTheEqualOne) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  const double before = ShareAfter(m, {10, 10, 10}, 60, 40, &now);
  m.View(now, {}, false, false);
  EXPECT_EQ(m.Share(now + 20 * kSecond, 4), before);
  EXPECT_STREQ(m.state(), "held");
  double last = m.Share(now + 31 * kSecond, 4);
  int steps = 0;
  for (Time t = now + 31 * kSecond; last > 0.25 && steps < 1000; t += kSecond / 2, ++steps) {
    const double next = m.Share(t, 4);
    EXPECT_GE(next, last * 0.9);  // never a jump
    last = next;
  }
  EXPECT_EQ(last, 0.25);
  EXPECT_GT(steps, 10);
  EXPECT_STREQ(m.state(), "equal");
}

TEST(Shares, OfThoseThatAreAbsentButNotSettledAsGoneOnlyABoundedPartIsTaken) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  const double before = ShareAfter(m, {20, 20, 20, 20}, 20, 40, &now);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    m.View(now, {"p0"}, true, false);  // three have been taken off the view, which is not settled yet
    m.Learn(now, "p0", Of(1, static_cast<std::uint64_t>(now), 20));
    m.Share(now, 5);
  }
  EXPECT_LE(m.Share(now, 5), 1.5 * before + 1e-9);
  for (int i = 0; i < 40; ++i, now += kSecond / 2) {
    m.View(now, {"p0"}, true, true);
    m.Share(now, 5);
  }
  EXPECT_GT(m.Share(now, 5), 2 * before);
}

// Words that are lost at random, rates that move at random: the sum of all parts stays near one.
RC_GTEST_PROP(Shares, AddUpWhateverIsLostAndHoweverRatesMove, ()) {
  const auto n = *rc::gen::inRange<std::size_t>(2, 9);
  const double loss = *rc::gen::inRange(0, 60) / 100.0;
  std::uint64_t state = *rc::gen::inRange<std::uint64_t>(1, 1'000'000);
  const auto draw = [&] {
    state = state * 6364136223846793005ULL + 1442695040888963407ULL;
    return static_cast<double>(state >> 33) / static_cast<double>(1ULL << 31);
  };
  Time now = kSecond;
  std::vector<ShareModel> nodes;
  std::vector<std::string> names;
  std::vector<double> rates(n, 20);
  for (std::size_t i = 0; i < n; ++i) names.push_back("n" + std::to_string(i));
  for (std::size_t i = 0; i < n; ++i) nodes.emplace_back(names[i], 1, now);
  for (int turn = 0; turn < 240; ++turn, now += kSecond / 2) {
    if (turn % 20 == 19) rates[static_cast<std::size_t>(draw() * static_cast<double>(n))] = 5 + 100 * draw();
    double sum = 0;
    for (std::size_t i = 0; i < n; ++i) {
      for (int k = 0; k < static_cast<int>(rates[i] / 2); ++k) nodes[i].Arrived(now);
      nodes[i].View(now, names, true, true);
      const auto word = nodes[i].Tell(now);
      for (std::size_t m = 0; word && m < n; ++m) {
        if (m != i && draw() >= loss) nodes[m].Learn(now, names[i], *word);
      }
    }
    for (std::size_t i = 0; i < n; ++i) sum += nodes[i].Share(now, n);
    RC_ASSERT(sum <= 1.1);
    if (turn > 60) RC_ASSERT(sum >= 0.3);
  }
}

// ---- Words ----

Word Full() {
  Word w;
  w.life = ~std::uint64_t{0}, w.number = ~std::uint64_t{0}, w.rate = gossip::kMostRate, w.doubt = true,
  w.accused = 0xffff;
  for (std::size_t i = 0; i < gossip::kMostClaims; ++i)
    w.claims.push_back({0xffffffff, Time{1'700'000'000'000'000}, 255, gossip::kMostRest, 0, -4, 255, 255,
                        gossip::kMostRest});
  for (std::size_t i = 0; i < gossip::kMostBeginnings; ++i)
    w.beginnings.push_back({~std::uint64_t{0}, gossip::kMostRate});
  return w;
}

TEST(Words, TheLongestFitsAndComesBackAsItWas) {
  const gossip::Telling t{std::string(64, 'n'), gossip::kMostAge, Full()};
  const std::string bytes = gossip::Encode(t);
  EXPECT_LE(bytes.size(), gossip::kMostWord);
  const char* why = "";
  const auto back = gossip::Decode(bytes, &why);
  ASSERT_TRUE(back) << why;
  EXPECT_EQ(back->node, t.node);
  EXPECT_EQ(back->age, t.age);
  ASSERT_EQ(back->word.claims.size(), gossip::kMostClaims);
  const gossip::Claim &a = back->word.claims[3], &b = t.word.claims[3];
  EXPECT_EQ(std::tie(a.replica, a.started_at, a.failures, a.rests, a.last, a.slow, a.slow_n, a.out, a.waits),
            std::tie(b.replica, b.started_at, b.failures, b.rests, b.last, b.slow, b.slow_n, b.out, b.waits));
  EXPECT_EQ(back->word.beginnings.back().rate, gossip::kMostRate);
}

TEST(Words, WhatIsNotANumberIsToldAsNothingAndWhatIsTooMuchAsTheMost) {
  Word w;
  const double nan = std::numeric_limits<double>::quiet_NaN();
  w.rate = nan;
  w.claims = {{1, 0, -5, -7, -1, nan, -3, -1, -1},
              {2, 0, 9999, Time{1} << 60, 1 + gossip::kMostRest, 1e300, 1e300, 9999, Time{1} << 60}};
  w.beginnings = {{1, -1}, {2, 1e300}};
  const char* why = "";
  const auto back = gossip::Decode(gossip::Encode({"n", -5, w}), &why);
  ASSERT_TRUE(back) << why;
  EXPECT_EQ(back->word.rate, 0);
  EXPECT_EQ(back->word.claims[0].slow, 0);
  EXPECT_EQ(back->word.claims[0].failures, 0);
  EXPECT_EQ(back->word.claims[1].failures, 255);
  EXPECT_EQ(back->word.claims[1].slow, 4);
  EXPECT_EQ(back->word.claims[1].last, -1);
  EXPECT_EQ(back->word.beginnings[1].rate, gossip::kMostRate);
}

// Bytes that are cut, changed or made up are turned down or read within bounds, never worse.
RC_GTEST_PROP(Words, AnyBytesAreReadWithinBoundsOrTurnedDown, ()) {
  std::string bytes = gossip::Encode({"n1", 1000, Full()});
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
  RC_ASSERT(t->word.claims.size() <= gossip::kMostClaims &&
            t->word.beginnings.size() <= gossip::kMostBeginnings);
  RC_ASSERT(t->word.rate >= 0 && t->word.rate <= gossip::kMostRate);
  for (const gossip::Claim& c : t->word.claims)
    RC_ASSERT(std::abs(c.slow) <= 4 && c.rests >= 0 && c.rests <= gossip::kMostRest);
}

TEST(Gossip, EveryWordGoesAFewTimesThoseSentLeastFirstAndANewerOneTakesItsPlace) {
  gossip::GossipModel g;
  for (int i = 0; i < 40; ++i) g.Put(0, {"n" + std::to_string(i), 0, Of(1, 1, i)}, i == 0);
  std::map<std::string, int> sent;
  const char* why = "";
  for (int i = 0; i < 1000 && g.waiting(); ++i) {
    std::size_t size = 0;
    for (const std::string& bytes : g.Fill(kSecond, 200, 5)) {
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
    EXPECT_EQ(n, name == "n0" ? gossip::GossipModel::kOwnSends : gossip::GossipModel::kSends);
  g.Put(0, {"n1", 0, Of(1, 2, 7)}, false);
  EXPECT_TRUE(g.waiting());
  EXPECT_EQ(g.size(), 40U);
  EXPECT_TRUE(g.Fill(2 * gossip::kMostAge, 1000, 5).empty());  // too old to be passed on
  EXPECT_FALSE(g.waiting());
}

// ---- Evidence ----

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

gossip::Claim Failing(policy::ReplicaId id, Time started = 1000) {
  return {id, started, 3, 4 * kSecond, kSecond / 2, 1.1, 3, 1, 0};
}

Word Accusing(std::vector<gossip::Claim> claims) {
  Word w = Of(1, 1, 10);
  w.accused = static_cast<int>(claims.size());
  w.claims = std::move(claims);
  return w;
}

// A node that sees nothing itself, among `n` others, in zones.
struct Hearer {
  Fleet fleet{20};
  gossip::EvidenceModel model{"me", gossip::EvidenceLimits{}};
  Time now = 100 * kSecond;
  explicit Hearer(std::size_t n, std::size_t zones = 1) {
    std::vector<gossip::EvidenceModel::Peer> members;
    for (std::size_t i = 0; i < n; ++i)
      members.push_back({"p" + std::to_string(i), zones > 1 ? "z" + std::to_string(i % zones) : ""});
    model.See(now, fleet.all, false);
    model.View(now, members, zones > 1 ? "z0" : "", true);
  }
  std::map<policy::ReplicaId, policy::PeerReplicaReport> Judge(double part = 0.1) {
    std::map<policy::ReplicaId, policy::PeerReplicaReport> told;
    model.See(now, fleet.all, false);
    for (const auto& t : model.Judge(now, part)) told[t.id] = t;
    return told;
  }
  bool Alone(policy::ReplicaId id) {
    const auto told = Judge();
    return told.contains(id) && told.at(id).ejected_until > now;
  }
};

TEST(Evidence, OneNodeTakesNothingFromOthersTwoDoAndOnesOwnAnswerComesFirst) {
  Hearer h(4);
  h.model.Learn(h.now, "p0", Accusing({Failing(1)}));
  EXPECT_FALSE(h.Alone(1));
  EXPECT_STREQ(h.model.Explain().front().why, "too-few-accusers");
  h.model.Learn(h.now, "p1", Accusing({Failing(1)}));
  EXPECT_TRUE(h.Alone(1));
  // It answered here a moment ago.
  h.fleet.at(1).slowness_updated_at = h.now - kSecond / 4;
  EXPECT_TRUE(h.Judge().contains(1));
  EXPECT_EQ(h.model.Explain().front().rests_until, 0);
}

TEST(Evidence, InMoreThanOneZoneItTakesAccusersInTwoOrInOnesOwn) {
  Hearer h(6, 3);
  h.model.Learn(h.now, "p1", Accusing({Failing(1)}));
  h.model.Learn(h.now, "p4", Accusing({Failing(1)}));  // the same zone, and not this node's
  EXPECT_FALSE(h.Alone(1));
  h.model.Learn(h.now, "p2", Accusing({Failing(1)}));
  EXPECT_TRUE(h.Alone(1));
  // Two of this node's own zone: what their network does to them it does to this node.
  h.model.Learn(h.now, "p0", Accusing({Failing(2)}));
  h.model.Learn(h.now, "p3", Accusing({Failing(2)}));
  EXPECT_TRUE(h.Alone(2));
}

TEST(Evidence, AnAnswerThatSomebodyGotSinceReleasesAll) {
  Hearer h(8);
  for (const char* p : {"p0", "p1", "p2", "p3", "p4", "p5"}) h.model.Learn(h.now, p, Accusing({Failing(1)}));
  ASSERT_TRUE(h.Alone(1));
  gossip::Claim good{1, 1000, 0, 0, kSecond / 10, 0, 5, 0, 0};
  h.now += kSecond;
  h.model.Learn(h.now, "p6", Accusing({good}));
  const auto told = h.Judge();
  ASSERT_TRUE(told.contains(1));
  EXPECT_EQ(told.at(1).ejected_until, 0);
  EXPECT_STREQ(h.model.Explain().front().why, "answered-since");
}

TEST(Evidence, ANodeThatSeesItsOwnNetworkCountsForNothing) {
  Hearer h(6);
  std::vector<gossip::Claim> all;
  for (policy::ReplicaId id = 1; id <= 20; ++id) all.push_back(Failing(id));
  // A third of the nodes see every replica fail.
  h.model.Learn(h.now, "p0", Accusing(all));
  h.model.Learn(h.now, "p1", Accusing(all));
  for (policy::ReplicaId id = 1; id <= 20; ++id) EXPECT_FALSE(h.Alone(id));
  // One that says itself that it is in doubt, though it accuses one alone.
  Word doubting = Accusing({Failing(2)});
  doubting.doubt = true;
  h.model.Learn(h.now, "p2", doubting);
  h.model.Learn(h.now, "p3", Accusing({Failing(2)}));
  EXPECT_FALSE(h.Alone(2));
  // And this node, cut off itself, says so.
  for (auto& v : h.fleet.all)
    v.ejected_until = h.now + kSecond, v.consecutive_failures = 2, v.slowness_updated_at = h.now;
  h.model.See(h.now, h.fleet.all, false);
  Word own;
  h.model.Tell(h.now, &own);
  EXPECT_TRUE(own.doubt);
  EXPECT_EQ(own.accused, 20);
}

TEST(Evidence, NeverMoreThanAShareOfTheFleetRestsByHearsay) {
  Hearer h(10);
  // Pairs of accusers, each pair of three replicas of its own: nobody accuses many, together they accuse
  // twelve.
  for (std::size_t i = 0; i < 8; ++i) {
    std::vector<gossip::Claim> claims;
    for (policy::ReplicaId k = 0; k < 3; ++k)
      claims.push_back(Failing(static_cast<policy::ReplicaId>(i / 2 * 3) + k + 1));
    h.model.Learn(h.now, "p" + std::to_string(i), Accusing(claims));
  }
  std::size_t out = 0;
  for (const auto& [id, t] : h.Judge()) out += t.ejected_until > h.now ? 1 : 0;
  EXPECT_EQ(out, 4U);  // a fifth of twenty
}

TEST(Evidence, WhatIsSaidOfOneThatWasReplacedAtTheSameAddressMeansNothing) {
  Hearer h(4);
  h.model.Learn(h.now, "p0", Accusing({Failing(1, 999)}));
  h.model.Learn(h.now, "p1", Accusing({Failing(1, 999)}));
  EXPECT_FALSE(h.Alone(1));
  h.model.Learn(h.now, "p0", Accusing({Failing(1)}));
  h.model.Learn(h.now, "p1", Accusing({Failing(1)}));
  EXPECT_TRUE(h.Alone(1));
  h.fleet.at(1).endpoint.started_at = 2000;  // replaced
  EXPECT_FALSE(h.Alone(1));
}

TEST(Evidence, SilenceTakesMoreWhoWaitAndNoAnswerSinceTheyBegan) {
  Hearer h(6);
  const gossip::Claim waits{1, 1000, 0, 0, 20 * kSecond, 0, 1, 2, 4 * kSecond};
  h.model.Learn(h.now, "p0", Accusing({waits}));
  h.model.Learn(h.now, "p1", Accusing({waits}));
  EXPECT_FALSE(h.Alone(1));
  h.model.Learn(h.now, "p2", Accusing({waits}));
  EXPECT_TRUE(h.Alone(1));
  // Somebody got an answer three seconds ago, so it is only slow.
  h.model.Learn(h.now, "p3", Accusing({{1, 1000, 0, 0, 3 * kSecond, 0, 5, 0, 0}}));
  EXPECT_FALSE(h.Alone(1));
}

TEST(Evidence, SlownessIsAMedianThatOneLiarCannotMove) {
  Hearer h(8);
  const auto slow = [](double s) { return gossip::Claim{1, 1000, 0, 0, kSecond, s, 6, 0, 0}; };
  // One says a thousand times: nothing comes of it while the others find the replica as usual.
  h.model.Learn(h.now, "p0", Accusing({slow(4)}));
  h.Judge();
  Word asked;  // who is asked says what it found
  h.fleet.at(1).slowness = 0.05, h.fleet.at(1).slowness_samples = 4,
  h.fleet.at(1).slowness_updated_at = h.now;
  h.model.See(h.now, h.fleet.all, false);
  h.model.Tell(h.now, &asked);
  ASSERT_EQ(asked.claims.size(), 1U);
  for (const char* p : {"p1", "p2", "p3"}) h.model.Learn(h.now, p, Accusing({slow(0.1)}));
  for (const auto& [id, t] : h.Judge()) EXPECT_EQ(t.slowness_samples, 0) << id;
  // Most find it slow: it counts, with a weight below an own answer's, whatever the liar says.
  for (const char* p : {"p1", "p2", "p3"}) h.model.Learn(h.now, p, Accusing({slow(1.8)}));
  const auto told = h.Judge();
  ASSERT_TRUE(told.contains(1));
  EXPECT_NEAR(told.at(1).slowness, 1.8, 0.01);
  EXPECT_LE(told.at(1).slowness_samples, gossip::EvidenceLimits{}.most_n);
}

TEST(Evidence, WhatADeadNodeHadOutCountsUntilItMustHaveEnded) {
  Hearer h(3);
  h.model.Learn(h.now, "p0", Accusing({{1, 1000, 2, kSecond, kSecond, 0, 1, 8, 0}}));
  h.Judge();
  h.now += 2 * kSecond;
  h.model.View(h.now, {{"p1", ""}, {"p2", ""}}, "", true);
  auto told = h.Judge(0.5);
  ASSERT_TRUE(told.contains(1));
  EXPECT_NEAR(told.at(1).orphaned_in_flight, 4, 1e-9);  // this node's part of eight
  h.now += gossip::EvidenceLimits{}.ends;
  told = h.Judge(0.5);
  ASSERT_TRUE(told.contains(1));
  EXPECT_EQ(told.at(1).orphaned_in_flight, 0);
}

// Whatever order words come in and however often, the newest of each speaker is what is judged by.
RC_GTEST_PROP(Evidence, AnyOrderAndRepetitionEndsTheSame, ()) {
  gossip::TierModel a("me", 1, 0, {}), b("me", 1, 0, {});
  std::vector<gossip::EvidenceModel::Peer> members;
  for (int i = 0; i < 6; ++i) members.push_back({"p" + std::to_string(i), ""});
  const Time now = 50 * kSecond;
  Fleet fleet(20);
  std::vector<gossip::Telling> words;
  for (int i = 0; i < 6; ++i) {
    for (std::uint64_t k = 1; k <= 3; ++k) {
      std::vector<gossip::Claim> claims;
      for (policy::ReplicaId id = 1; id <= 3; ++id) {
        if (*rc::gen::arbitrary<bool>()) claims.push_back(Failing(id));
      }
      Word w = Accusing(claims);
      w.number = k;
      words.push_back({"p" + std::to_string(i), static_cast<Time>(4 - k) * kSecond, w});
    }
  }
  std::vector<gossip::Telling> mixed = words;
  for (std::size_t i = mixed.size(); i > 1; --i)
    std::swap(mixed[i - 1], mixed[*rc::gen::inRange<std::size_t>(0, i)]);
  mixed.insert(mixed.end(), words.begin(), words.begin() + 5);
  const auto play = [&](gossip::TierModel& m, const std::vector<gossip::Telling>& all) {
    m.View(now, members, "", true, true);
    m.See(now, fleet.all, false);
    for (const gossip::Telling& t : all) m.Learn(now, t);
    std::vector<policy::ReplicaId> alone;
    for (const policy::Event& e : m.Turn(now, 7)) {
      const auto* told = std::get_if<policy::PeerReportsReceived>(&e);
      for (std::size_t i = 0; told != nullptr && i < told->replicas.size(); ++i) {
        if (told->replicas[i].ejected_until > now) alone.push_back(told->replicas[i].id);
      }
    }
    return alone;
  };
  RC_ASSERT(play(a, words) == play(b, mixed));
}

TEST(Beginnings, AreCountedOverAllNodesAndOneLiarIsBounded) {
  gossip::BeginningsModel m("me", 0);
  Time now = 30 * kSecond;
  for (int i = 0; i < 200; ++i) m.Arrived(now - (i % 20) * kSecond, i % 4 == 0 ? 7 : 8);
  for (int i = 0; i < 5; ++i) {
    Word w = Of(1, 1, 10);
    w.beginnings = {{7, 4}, {8, 2}};
    m.Learn(now, "p" + std::to_string(i), w);
  }
  policy::PrefixTrafficReceived keys;
  ASSERT_TRUE(m.Shares(now, &keys));
  ASSERT_EQ(keys.shares.size(), 2U);
  EXPECT_EQ(keys.shares[0].first, 7U);
  EXPECT_GT(keys.shares[0].second, 0.3);
  EXPECT_LT(keys.shares[0].second, 0.4);
  Word lie = Of(1, 1, 1e6);
  lie.beginnings = {{99, 1e6}, {8, 1e6}};
  m.Learn(now, "liar", lie);
  now += 2 * kSecond;
  m.Shares(now, &keys);
  for (const auto& [beginning, share] : keys.shares) {
    EXPECT_NE(beginning, 99U);  // too few tell of it
    EXPECT_LT(share, 0.75);
  }
  EXPECT_TRUE(m.Withdraw(&keys));
  EXPECT_TRUE(keys.shares.empty());
}

TEST(Shares, OneThatLiesByAThousandLeavesTheOthersABoundedPart) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
  const double before = ShareAfter(m, std::vector<double>(9, 20), 20, 40, &now);
  m.Learn(now, "p0", Of(1, ~std::uint64_t{0}, 20'000));
  const double after = m.Share(now, 10);
  EXPECT_GT(after, before * 10 / (9 + 1.25 * gossip::kMostOfMiddle + 1));
  EXPECT_LT(after, before);
}

TEST(Talk, WordsGetRoundThoughAThirdIsLostAndSomeHearHalfOfTheOthers) {
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

TEST(TierDay, OneSeedOneDayAndPartsThatAddUp) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.fleet.tier.loss = 0.3;
  const auto a = emulator::PlayScenario(d), b = emulator::PlayScenario(d);
  EXPECT_EQ(a.worth, b.worth);
  EXPECT_EQ(a.joint_shares, b.joint_shares);
  EXPECT_EQ(a.breaks.all(), 0U) << a.breaks.Words();
  EXPECT_LE(a.joint_shares, 1.1);
}

TEST(TierDay, HalvesThatDoNotHearEachOtherStayWithinTheBound) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.faults = {{"talk-cut", 25, 25, 0, 3}};  // three of eight: the five go on by themselves
  const auto r = emulator::PlayScenario(d);
  EXPECT_EQ(r.breaks.all(), 0U) << r.breaks.Words();
  EXPECT_LE(r.joint_shares, 2.0);
  d.faults = {{"talk-cut", 25, 25, 0, 4}};  // even halves: neither side removes the other
  EXPECT_LE(emulator::PlayScenario(d).joint_shares, 1.1);
}

TEST(TierDay, NodesThatDieAndReturnBreakNoRule) {
  emulator::ScenarioSpec d = Day();
  d.fleet.tier.talk = "talk-parts";
  d.faults = {{"node-dies", 25, 15, 0, 5}};
  const auto r = emulator::PlayScenario(d);
  EXPECT_EQ(r.breaks.all(), 0U) << r.breaks.Words();
}

// Worth that stays down after its cause is over shows, and worth that is back shows when.
TEST(TierDay, WhenADayIsBackIsSeenAndThatItNeverIs) {
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
TEST(Shares, ANodeThatHasJustStartedTakesPartAtAGrowingShare) {
  Time now = kSecond;
  ShareModel m("me", 1, now);
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
  ShareModel fresh("me", 1, now);
  EXPECT_NEAR(ShareAfter(fresh, std::vector<double>(9, 0), 0, 2, &now), 0.1, 0.001);
}

TEST(TierDay, EvidenceSparesMostOfTheErrorsAndOneThatLiesTakesNothing) {
  emulator::ScenarioSpec d = Day();
  d.fleet.nodes = 24;
  d.clients.per_second = 200;
  emulator::FaultSpec bad;
  bad.what = "fails", bad.at = 25, bad.lasts = 20, bad.count = 3;
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
