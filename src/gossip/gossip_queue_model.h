// Which nodes' reports are sent next. Each node forwards the newest report of every other node a few times,
// on whatever message leaves it, so that reports spread where links are cut, at a cost that does not grow
// with the cluster. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

// One entry for each node, at most kMaxNodes.
class GossipQueue {
 public:
  static constexpr int kForwards = 3;  // of each report, by each node that received it
  static constexpr int kOwnSends = 6;  // of each report, by the node that made it
  static constexpr std::size_t kMaxNodes = 4096;

  // Enqueues the newest report of its node in place of the one before. `own`: this node made it.
  void Enqueue(Time now, GossipMessage message, bool own);
  // Encoded messages that fit into `capacity` bytes with `overhead` bytes for each: those sent least first,
  // of these the newest first. Each counts as sent.
  std::vector<std::string> TakeMessages(Time now, std::size_t capacity, std::size_t overhead);
  bool has_pending() const { return pending_sends_ > 0; }
  std::size_t size() const { return entries_.size(); }

 private:
  struct Entry {
    GossipMessage message;
    Time enqueued_at = 0;
    int sends_left = 0;
    int sent = 0;
    std::uint64_t order = 0;  // rises with each Enqueue
  };
  std::map<std::string, Entry> entries_;  // by node
  std::size_t pending_sends_ = 0;         // the sum of all entries' `sends_left`
  std::uint64_t last_order_ = 0;
};

}  // namespace ryeglade::gossip
