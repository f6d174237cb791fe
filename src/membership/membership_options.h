// The options of the membership, set by the host. All spans in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

using RandomBits = std::function<std::uint64_t()>;  // 64 random bits

// The defaults match those of the settings file.
struct MembershipOptions {
  std::string cluster = "ryeglade";
  Time probe_interval = 1'000'000;  // at least 20 ms
  int indirect_probes = 3;          // number of helpers that are asked when a probe is not answered directly
  int observers = 6;                // number of members that probe a suspect on the first report on it
  int required_reporters = 3;      // reports that a death requires; fewer if fewer members are left to report
  double suspicion_intervals = 5;  // probe intervals in which a suspect can refute the suspicion, multiplied
                                   // by log10 of the number of members if that is over 1
  double stable_after_intervals = 5;  // probe intervals without a change until a view is stable
  double push_pull_intervals = 15;    // probe intervals between push-pull exchanges with a random member;
                                      // longer beyond 100 members
  Time forget_after = 600'000'000;    // a dead or left member is forgotten after this span
  std::size_t max_members = 1024;     // other members that are known, including dead and left ones
  std::size_t max_datagram_bytes = 1400;
  std::uint32_t schema = kSchema;  // schema version of the messages that are written
  std::vector<std::string> seeds;  // ip:port; one that can be reached suffices to join

  // Parts of the protocol that the lab turns off to measure the effect of each. The node never changes them.
  bool several_reporters = true;  // if false, one reporter suffices for a death
  bool reachable_reports = true;  // reports that a member was reached count against suspicions
  bool require_majority = true;   // a death requires that the deciding node reaches a majority
  bool local_health = true;       // a node with poor local health suspects itself first (Lifeguard)
  // Without either of these two the protocol is broken; the lab's explorer must detect that.
  bool refutation = true;         // a node refutes suspicions of itself by a higher incarnation
  bool incarnation_order = true;  // records with a higher incarnation override older ones

  // Converts a number of probe intervals to a span.
  Time Intervals(double count) const {
    return static_cast<Time>(count * static_cast<double>(probe_interval));
  }
};

}  // namespace ryeglade::membership
