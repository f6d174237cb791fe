// When a node exchanges all records with whom over a connection (memberlist's push-pull): first with seeds
// until it has joined, then now and then with a random member. No I/O, no clock.
#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"

namespace ryeglade::membership {

// Also knows whether the node has joined, as that is done by the first exchange.
class PushPullSchedule {
 public:
  // `joined`: there is nobody to join.
  PushPullSchedule(bool joined, Time now) : joined_(joined), next_at_(now) {}

  bool joined() const { return joined_; }
  void MarkJoined() { joined_ = true; }
  void JoinAgain(Time now);

  struct Due {
    std::vector<std::string> addresses;   // to exchange all records with
    const Member* dead_member = nullptr;  // to be pinged: it is told that it is dead, in case it is not
  };
  // `stable`: the view is.
  Due TakeDue(Time now, const MembershipOptions& options, const MemberTable& table, bool stable,
              const RandomBits& random);

 private:
  bool joined_;
  Time next_at_;
  std::size_t seed_attempts_ = 0;
};

}  // namespace ryeglade::membership
