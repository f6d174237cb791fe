// The schedule of the exchanges of all records over connections (memberlist's push-pull): with seeds until
// the node has joined, then periodically with a random member. No I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"

namespace ryeglade::membership {

// Also records whether the node has joined, because the first exchange that succeeds joins it.
class PushPullSchedule {
 public:
  // `joined` is true if there is no node to join.
  PushPullSchedule(bool joined, Time now) : joined_(joined), next_at_(now) {}

  bool joined() const { return joined_; }
  void MarkJoined() { joined_ = true; }
  // Withdraws MarkJoined. The next exchange, with a seed, is due at once.
  void JoinAgain(Time now);

  struct Due {
    std::vector<std::string> addresses;   // ip:port of the nodes to exchange all records with
    const Member* dead_member = nullptr;  // to be pinged, so that it can refute its death; null: none
  };
  // Returns the exchanges that are due. `stable` says whether the view is stable. Until the node has joined,
  // the options must have a seed.
  Due TakeDue(Time now, const MembershipOptions& options, const MemberTable& table, bool stable,
              const RandomBits& random);

 private:
  bool joined_;
  Time next_at_;  // microseconds
  std::size_t seed_attempts_ = 0;
};

}  // namespace ryeglade::membership
