// Gossip among several processes of the program, with faults on the links between them, faults of replicas
// and false reports by one node.
#include <gtest/gtest.h>

#include <cstdlib>
#include <numeric>
#include <set>
#include <string>

#include "gossip/gossip_message_codec.h"
#include "lab/cluster/real.h"

namespace ryeglade::cluster {
namespace {

// Runs a scenario with real processes and checks its expectations.
RealResult RunScenario(const std::string& text, RealOptions options = {}) {
  const Scenario scenario = ParseScenario("a test", text);
  options.program = std::getenv("RYEGLADE_PROGRAM");
  const RealResult result = PlayReal(scenario, options);
  for (const std::string& line : result.verdict.violations) ADD_FAILURE() << line;
  EXPECT_EQ(result.overlapping_attempts, 0U);
  return result;
}

// The beginning of a scenario with gossip.
std::string ScenarioHead(int nodes, const std::string& more_settings = "") {
  return "name = \"tier\"\nnodes = " + std::to_string(nodes) +
         "\nperiod = \"250ms\"\nwarm_up = 24\nreplicas = 10\ntier = true\n" + more_settings;
}

// The replicas that were ejected by consensus, and the number of nodes that ejected each.
std::map<std::string, int> EjectionsByReplica(const RealResult& result) {
  std::map<std::string, int> all;
  for (const auto& node : result.peer_ejections) {
    for (const auto& [host, n] : node) ++all[host];
  }
  return all;
}

// The sum of all nodes' traffic shares.
double Sum(const std::vector<RealResult::TrafficShare>& shares) {
  return std::accumulate(shares.begin(), shares.end(), 0.0,
                         [](double sum, const auto& node) { return sum + node.share; });
}

TEST(GossipNodes, AFailingReplicaIsEjectedByConsensusDespiteLosses) {
  const std::string scenario_text =
      ScenarioHead(8, "zones = 2\nrate = \"64/s\"\nlength = 56\n") +
      "[[fault]]\nwhat = \"loss\"\nshare = 0.3\n[[fault]]\nwhat = \"cut\"\nfrom = \"0\"\nto = \"1\"\n"
      "[[replica]]\nhow = \"error\"\nfirst = 4\nat = 4\n[expect]\nmost_returns = 5\n";
  const RealResult result = RunScenario(scenario_text);
  const auto ejections = EjectionsByReplica(result);
  // It is ejected by the nodes that do not keep probing it. No other replica is ejected.
  ASSERT_TRUE(ejections.contains("stand-in-4"));
  EXPECT_GE(ejections.at("stand-in-4"), 4);
  EXPECT_EQ(ejections.size(), 1U) << ejections.begin()->first << ", " << ejections.rbegin()->first;
  EXPECT_GE(result.served_all * 100, result.asked_all * 98);
}

TEST(GossipNodes, ASilentReplicaIsEjectedByConsensus) {
  const std::string scenario_text = ScenarioHead(6, "rate = \"60/s\"\nlength = 80\n") +
                                    "[[replica]]\nhow = \"silent\"\nfirst = 2\nat = 2\nlasts = 44\n";
  const RealResult result = RunScenario(scenario_text);
  const auto ejections = EjectionsByReplica(result);
  EXPECT_GE(ejections.contains("stand-in-2") ? ejections.at("stand-in-2") : 0, 3);
  EXPECT_EQ(ejections.size(), 1U);
}

TEST(GossipNodes, NodesThatReachNoReplicaCauseNoEjections) {
  RealOptions options;
  options.query_shares_at = {40};
  const RealResult result =
      RunScenario(ScenarioHead(6, "rate = \"60/s\"\nlength = 60\n") +
                      "[[replica]]\nhow = \"unreachable\"\nfirst = 0\ncount = 10\nnodes = \"0,1\"\nat = 2\n"
                      "[expect]\nserved = 0.6\n",
                  options);
  EXPECT_TRUE(EjectionsByReplica(result).empty());
  // The four nodes that reach the replicas serve nearly all of their requests.
  EXPECT_GE(result.served_all * 100, result.asked_all * 4 / 6 * 97);
}

TEST(GossipNodes, OneNodeWithFalseReportsTakesABoundedShareAndEjectsNoReplica) {
  RealOptions options;
  options.query_shares_at = {50};
  std::uint64_t sequence = 0;
  options.false_reporter = [&sequence](const std::string& name) {
    std::vector<std::string> messages;
    gossip::NodeReport report;
    report.incarnation = 1;
    report.sequence = ++sequence;
    report.rate = 1e6;
    for (int k = 0; k < 10; ++k) {
      // The id that the program gives a replica: the FNV-1a hash of its name.
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
  const RealResult result = RunScenario(ScenarioHead(6, "rate = \"60/s\"\nlength = 60\n"), options);
  EXPECT_TRUE(EjectionsByReplica(result).empty());
  ASSERT_EQ(result.shares.size(), 1U);
  ASSERT_EQ(result.shares[0].size(), 6U);
  // The six nodes keep the shares that the bound on one node's rate leaves them, in total not much more
  // than 1.
  EXPECT_GE(Sum(result.shares[0]), 0.3);
  EXPECT_LE(Sum(result.shares[0]), 1.1);
  EXPECT_GE(result.served_all * 100, result.asked_all * 99);
}

TEST(GossipNodes, SharesAddUpThroughDeathsAndAPartition) {
  RealOptions options;
  options.query_shares_at = {20, 27, 52, 68, 108};
  const RealResult result = RunScenario(
      ScenarioHead(7, "rate = \"70/s\"\nlength = 110\n") +
          "[[fault]]\nwhat = \"kill\"\nnodes = \"5-6\"\nat = 22\n"
          "[[fault]]\nwhat = \"cut\"\nfrom = \"0-1\"\nto = \"2-6\"\nboth = true\nat = 56\nlasts = 20\n"
          "[expect]\nremoved = \"5-6\"\nmay_remove = \"0-1\"\nin_doubt = \"0-1\"\nserved = 0.97\n"
          "one_view_within = 60\n",
      options);
  ASSERT_EQ(result.shares.size(), 5U);
  for (const auto& shares : result.shares) EXPECT_LE(Sum(shares), 2.0);
  // All seven nodes, with equal traffic.
  EXPECT_EQ(result.shares[0].size(), 7U);
  EXPECT_NEAR(Sum(result.shares[0]), 1, 0.15);
  // Two nodes are dead, and the clients of a node do not move to others: the remaining shares add up again
  // once the view is stable.
  EXPECT_EQ(result.shares[2].size(), 5U);
  EXPECT_GE(Sum(result.shares[2]), 0.7);
  EXPECT_LE(Sum(result.shares[2]), 1.15);
  // During the cut the two keep their shares, while the shares of the three rise up to 1 in total.
  EXPECT_LE(Sum(result.shares[3]), 1.7);
  EXPECT_NEAR(Sum(result.shares[4]), 1, 0.2);
}

TEST(GossipNodes, WorksBesideNodesOfWireVersion1AndIsOffWithoutItsSettings) {
  // Nodes of wire version 1 ignore gossip messages. Nodes without the table [tier] send none.
  const RealResult mixed_result =
      RunScenario(ScenarioHead(5, "rate = \"50/s\"\nlength = 40\nold_wire = \"3-4\"\n") +
                  "[[replica]]\nhow = \"error\"\nfirst = 1\nat = 4\n");
  EXPECT_TRUE(EjectionsByReplica(mixed_result).contains("stand-in-1"));
  std::string off = ScenarioHead(5, "rate = \"50/s\"\nlength = 40\n");
  off.replace(off.find("tier = true"), 11, "tier = false");
  RealOptions options;
  options.query_shares_at = {30};
  const RealResult off_result =
      RunScenario(off + "[[replica]]\nhow = \"error\"\nfirst = 1\nat = 4\n", options);
  EXPECT_TRUE(EjectionsByReplica(off_result).empty());
  EXPECT_TRUE(off_result.shares[0].empty());
}

}  // namespace
}  // namespace ryeglade::cluster
