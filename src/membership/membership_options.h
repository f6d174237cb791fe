// What the membership goes by, as the host sets it. All spans in microseconds.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "membership/member_record_model.h"

namespace ryeglade::membership {

using RandomBits = std::function<std::uint64_t()>;  // 64 random bits

// The defaults are those of the settings file.
struct MembershipOptions {
  std::string cluster = "ryeglade";
  Time probe_interval = 1'000'000;    // at least 20 ms
  int indirect_probes = 3;            // helpers that are asked when a probe is not answered directly
  int observers = 6;                  // that probe a suspect themselves as soon as they hear of it
  int required_reporters = 3;         // that a death takes; fewer where fewer are left
  double suspicion_intervals = 5;     // probe intervals that a suspect has, times log10 of the members where
                                      // that is over 1
  double stable_after_intervals = 5;  // probe intervals without a change until a view is stable
  double push_pull_intervals = 15;  // probe intervals between push-pull exchanges with a random member, more
                                    // beyond 100 members
  Time forget_after = 600'000'000;  // a dead or left member is forgotten
  std::size_t max_members = 1024;
  std::size_t max_datagram_bytes = 1400;
  std::uint32_t schema = kSchema;  // that is written
  std::vector<std::string> seeds;  // ip:port; any one suffices

  // Parts of the protocol that the lab turns off to show what each is worth. The node leaves them alone.
  bool several_reporters = true;  // else one suffices for a death
  bool reachable_reports = true;  // reports that a member was reached count against suspicions
  bool require_majority = true;   // for a death
  bool local_health = true;       // Lifeguard: a node in trouble suspects itself first
  bool refutation = true;         // without these two it is broken, which the explorer must see
  bool incarnation_order = true;

  // A number of probe intervals as a span.
  Time Intervals(double count) const {
    return static_cast<Time>(count * static_cast<double>(probe_interval));
  }
};

}  // namespace ryeglade::membership
