// The queue of node reports to send. Each node forwards the newest report of every other node a few times, in
// whatever messages it sends, so that reports also spread around cut links. The cost of a report at each node
// does not grow with the cluster. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

// Holds one entry for each node, at most kMaxNodes; reports of further nodes are dropped.
class GossipQueue {
 public:
  static constexpr int kForwards = 3;  // how often a node that received a report sends it
  static constexpr int kOwnSends = 6;  // how often the node that made a report sends it
  static constexpr std::size_t kMaxNodes = 4096;

  // Adds the newest report of a node, which replaces that node's previous one. `own` says whether this node
  // made it.
  void Enqueue(Time now, GossipMessage message, bool own);
  // Returns encoded messages that fit into `capacity` bytes with `overhead` bytes for each: those sent least
  // often first, and the newest first among equals. Each counts as sent.
  std::vector<std::string> TakeMessages(Time now, std::size_t capacity, std::size_t overhead);
  bool has_pending() const { return pending_sends_ > 0; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    GossipMessage message;
    Time enqueued_at = 0;     // microseconds
    int sends_left = 0;       // 0: nothing is pending; the entry is kept
    int sent = 0;             // how often it was sent
    std::uint64_t order = 0;  // rises with each Enqueue
  };
  std::map<std::string, Entry> entries_;  // by node
  std::size_t pending_sends_ = 0;         // the sum of all entries' `sends_left`
  std::uint64_t last_order_ = 0;
};

}  // namespace ryeglade::gossip
