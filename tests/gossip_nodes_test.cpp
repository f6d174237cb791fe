// What several processes of the program do with what they tell each other, with faults on the links between
// them, at replicas, and in what one of them says.
#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>
#include <set>
#include <string>

#include "gossip/gossip_message_codec.h"
#include "lab/cluster/real.h"

namespace ryeglade::cluster {
namespace {

RealResult Play(const std::string& text, RealOptions o = {}) {
  const Scenario scenario = ParseScenario("a test", text);
  o.program = std::getenv("RYEGLADE_PROGRAM");
  const RealResult r = PlayReal(scenario, o);
  for (const std::string& line : r.verdict.broken) ADD_FAILURE() << line;
  EXPECT_EQ(r.two_at_once, 0U);
  return r;
}

std::string Head(int nodes, const std::string& more = "") {
  return "name = \"tier\"\nnodes = " + std::to_string(nodes) +
         "\nperiod = \"250ms\"\nwarm_up = 24\nreplicas = 10\ntier = true\n" + more;
}

// Which replicas were left alone on others' word, and by how many nodes each.
std::map<std::string, int> LeftAlone(const RealResult& r) {
  std::map<std::string, int> all;
  for (const auto& node : r.left_alone) {
    for (const auto& [host, n] : node) ++all[host];
  }
  return all;
}

double Sum(const std::vector<RealResult::Part>& look) {
  return std::accumulate(look.begin(), look.end(), 0.0, [](double s, const auto& p) { return s + p.part; });
}

TEST(TierNodes, AReplicaThatFailsIsLeftAloneByAllThoughAThirdOfAllMessagesIsLost) {
  const std::string day =
      Head(8, "zones = 2\nrate = \"64/s\"\nlength = 56\n") +
      "[[fault]]\nwhat = \"loss\"\nshare = 0.3\n[[fault]]\nwhat = \"cut\"\nfrom = \"0\"\nto = \"1\"\n"
      "[[replica]]\nhow = \"error\"\nfirst = 4\nat = 4\n[expect]\nmost_returns = 5\n";
  const RealResult r = Play(day);
  const auto alone = LeftAlone(r);
  // By those that do not try it for all, and no other replica by anybody.
  ASSERT_TRUE(alone.contains("stand-in-4"));
  EXPECT_GE(alone.at("stand-in-4"), 4);
  EXPECT_EQ(alone.size(), 1U) << alone.begin()->first << ", " << alone.rbegin()->first;
  EXPECT_GE(r.served_all * 100, r.asked_all * 98);
}

TEST(TierNodes, ASilentReplicaAndItsReturn) {
  const std::string day = Head(6, "rate = \"60/s\"\nlength = 80\n") +
                          "[[replica]]\nhow = \"silent\"\nfirst = 2\nat = 2\nlasts = 44\n";
  const RealResult r = Play(day);
  const auto alone = LeftAlone(r);
  EXPECT_GE(alone.contains("stand-in-2") ? alone.at("stand-in-2") : 0, 3);
  EXPECT_EQ(alone.size(), 1U);
}

TEST(TierNodes, ANodeThatReachesNoReplicaTakesNoneFromTheOthers) {
  RealOptions o;
  o.look_at = {40};
  const RealResult r =
      Play(Head(6, "rate = \"60/s\"\nlength = 60\n") +
               "[[replica]]\nhow = \"unreachable\"\nfirst = 0\ncount = 10\nnodes = \"0,1\"\nat = 2\n"
               "[expect]\nserved = 0.6\n",
           o);
  EXPECT_TRUE(LeftAlone(r).empty());
  // The four that reach them serve everything.
  EXPECT_GE(r.served_all * 100, r.asked_all * 4 / 6 * 97);
}

TEST(TierNodes, OneThatLiesByAThousandTakesNeitherSharesNorReplicas) {
  RealOptions o;
  o.look_at = {50};
  std::uint64_t sequence = 0;
  o.liar = [&sequence](const std::string& name) {
    std::vector<std::string> messages;
    gossip::NodeReport report;
    report.incarnation = 1;
    report.sequence = ++sequence;
    report.rate = 1e6;
    for (int k = 0; k < 10; ++k) {
      // As the program numbers replicas: FNV-1a of their names.
      std::uint32_t id = 2166136261U;
      for (const char c : "stand-in-" + std::to_string(k))
        id = (id ^ static_cast<unsigned char>(c)) * 16777619U;
      report.outlier_reports.push_back({id, 0, 9, gossip::kMaxSpan, 0, 4, 255, 255, gossip::kMaxSpan});
    }
    report.prefix_rates = {{42, 1e6}};
    messages.push_back(gossip::Encode({name, 0, report}));
    messages.push_back("\xc1 no word at all");
    messages.push_back(gossip::Encode({"n1", 0, report}).substr(0, 40));
    messages.push_back(gossip::Encode({"nobody", 0, report}));
    return messages;
  };
  const RealResult r = Play(Head(6, "rate = \"60/s\"\nlength = 60\n"), o);
  EXPECT_TRUE(LeftAlone(r).empty());
  ASSERT_EQ(r.looks.size(), 1U);
  ASSERT_EQ(r.looks[0].size(), 6U);
  // The six keep what the bound on one liar leaves them, and no more than all there is.
  EXPECT_GE(Sum(r.looks[0]), 0.3);
  EXPECT_LE(Sum(r.looks[0]), 1.1);
  EXPECT_GE(r.served_all * 100, r.asked_all * 99);
}

TEST(TierNodes, SharesAddUpThroughDeathsAndHalvesThatDoNotHearEachOther) {
  RealOptions o;
  o.look_at = {20, 27, 52, 68, 108};
  const RealResult r =
      Play(Head(7, "rate = \"70/s\"\nlength = 110\n") +
               "[[fault]]\nwhat = \"kill\"\nnodes = \"5-6\"\nat = 22\n"
               "[[fault]]\nwhat = \"cut\"\nfrom = \"0-1\"\nto = \"2-6\"\nboth = true\nat = 56\nlasts = 20\n"
               "[expect]\nremoved = \"5-6\"\nmay_remove = \"0-1\"\nin_doubt = \"0-1\"\nserved = 0.97\n"
               "one_view_within = 60\n",
           o);
  ASSERT_EQ(r.looks.size(), 5U);
  for (const auto& look : r.looks) EXPECT_LE(Sum(look), 2.0);
  // All seven, equal traffic.
  EXPECT_EQ(r.looks[0].size(), 7U);
  EXPECT_NEAR(Sum(r.looks[0]), 1, 0.15);
  // Two are dead and the clients of each node stay with it: what is left adds up again once the view has
  // settled.
  EXPECT_EQ(r.looks[2].size(), 5U);
  EXPECT_GE(Sum(r.looks[2]), 0.7);
  EXPECT_LE(Sum(r.looks[2]), 1.15);
  // During the cut the two hold their parts, the three go on to a whole: at most 1 and the two's parts.
  EXPECT_LE(Sum(r.looks[3]), 1.7);
  EXPECT_NEAR(Sum(r.looks[4]), 1, 0.2);
}

TEST(TierNodes, OldNodesAmongNewOnesAndTheTableAbsent) {
  // Nodes of wire 1 pass over words; without the table nothing is said.
  const RealResult mixed = Play(Head(5, "rate = \"50/s\"\nlength = 40\nold_wire = \"3-4\"\n") +
                                "[[replica]]\nhow = \"error\"\nfirst = 1\nat = 4\n");
  EXPECT_TRUE(LeftAlone(mixed).contains("stand-in-1"));
  std::string off = Head(5, "rate = \"50/s\"\nlength = 40\n");
  off.replace(off.find("tier = true"), 11, "tier = false");
  RealOptions o;
  o.look_at = {30};
  const RealResult silent = Play(off + "[[replica]]\nhow = \"error\"\nfirst = 1\nat = 4\n", o);
  EXPECT_TRUE(LeftAlone(silent).empty());
  EXPECT_TRUE(silent.looks[0].empty());
}

}  // namespace
}  // namespace ryeglade::cluster
