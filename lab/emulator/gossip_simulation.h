// Simulates gossip among many nodes in virtual time, message by message: the program's own gossip queue and
// shared state, with message loss and nodes that don't receive each other. Measures the cost of gossip,
// and the age of the reports that nodes have of each other.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ryeglade::emulator {

struct GossipSimulationSpec {
  std::size_t nodes = 100, replicas = 400;
  std::size_t failing = 5;  // replicas that fail for every node from the tenth second on
  double rate = 5;          // requests per second at each node
  double loss = 0;          // share of messages that is lost
  std::size_t one_way = 0;  // the first `one_way` nodes receive messages only from odd-numbered nodes
  double seconds = 60;
  std::uint64_t seed = 1;
  std::size_t header_bytes = 220;  // size of a message without its reports
};

struct GossipSimulationResult {
  // Seconds: age of a node's newest report at another node, in the second half of the run. -1: no report.
  double age_p50 = 0, age_p99 = 0;
  double unknown_share = 0;  // share of pairs of which one has no report of the other, in that half
  // Seconds from the failure until a node has ejected a failing replica: the median and the maximum. A node
  // that never ejected it counts with the end of the run.
  double ejection_p50 = 0, ejection_last = 0;
  double bytes = 0;      // per node and second, message headers included
  double messages = 0;   // per node and second
  double cpu_share = 0;  // of a core per node, for reports, gossip and evaluation; differs from run to run
};

// Everything except `cpu_share` depends only on the spec.
GossipSimulationResult RunGossipSimulation(const GossipSimulationSpec& spec);

}  // namespace ryeglade::emulator
