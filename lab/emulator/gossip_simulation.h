// How words get round among many nodes: the program's own parts, message by message in virtual time, with
// loss and nodes that do not hear each other. Says what it costs and how old what a node knows is.
#pragma once

#include <cstddef>
#include <cstdint>

namespace ryeglade::emulator {

struct GossipSimulationSpec {
  std::size_t nodes = 100, replicas = 400;
  std::size_t failing = 5;  // replicas that fail for every node from the tenth second on
  double rate = 5;          // requests a second that come to each node
  double loss = 0;          // of messages
  std::size_t one_way = 0;  // so many nodes hear only every other node directly
  double seconds = 60;
  std::uint64_t seed = 1;
  std::size_t header_bytes = 220;  // bytes of a message without words
};

struct GossipSimulationResult {
  double age_p50 = 0, age_p99 = 0;  // seconds: of what a node knows of another, in the second half
  double unknown_share = 0;         // share of pairs of which one knows nothing of the other then
  double ejection_p50 = 0,
         ejection_last = 0;  // seconds from the failure until nodes leave the replicas alone
  double bytes = 0;          // a node and second, heads of the messages that it takes among them
  double messages = 0;       // the same
  double cpu_share = 0;      // of a core, a node: words, gossip and judging; not the same on every run
};

GossipSimulationResult RunGossipSimulation(const GossipSimulationSpec& spec);

}  // namespace ryeglade::emulator
