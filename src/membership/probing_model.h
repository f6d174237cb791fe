// The probes that a node has in progress (SWIM's failure detector): which member it probes next, what each
// probe has to send and when, and the probes that it relays for others. The caller builds and sends the
// messages. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"

namespace ryeglade::membership {

// A probe that this node makes for itself: first several pings to the target, then ping requests to helpers.
// Times in microseconds.
struct Probe {
  std::uint64_t seq = 0;           // sequence number of the pings
  std::uint64_t indirect_seq = 0;  // sequence number of the ping requests, which helpers answer
  std::string target;              // name
  Time started_at = 0;
  Time timeout = 0;          // from the start until helpers are asked
  Time ends_at = 0;          // an unanswered probe has failed at this time
  int pings = 0;             // sent so far
  std::size_t requests = 0;  // ping requests sent to helpers
  std::size_t nacks = 0;     // received from helpers
  bool indirect = false;     // helpers were asked
};

// A ping request that this node carries out for another node. Times in microseconds.
struct RelayedProbe {
  std::uint64_t seq = 0;            // sequence number of this node's ping
  std::uint64_t requester_seq = 0;  // sequence number of the request
  std::string target;               // name
  std::string requester_address;    // ip:port
  Time nack_at = 0;                 // when the requester is to get a nack
  Time ends_at = 0;                 // when the relayed probe is discarded
  bool nacked = false;
};

// Holds at most kMaxProbes probes and kMaxRelays relayed probes.
class Probing {
 public:
  static constexpr std::size_t kMaxProbes = 64;
  static constexpr std::size_t kMaxRelays = 64;

  // Adds a probe of `target`, for which nothing has been sent yet, and returns it; the pointer is valid until
  // the next call. Returns null if a probe of `target` is in progress or there are kMaxProbes.
  Probe* Start(Time now, const std::string& target, Time timeout, Time duration, const RandomBits& random);
  std::size_t size() const { return probes_.size(); }

  // Removes and returns the probes that have failed.
  std::vector<Probe> TakeFailed(Time now);
  // Returns the probes for which something has to be sent now, in order: a further ping or, if `ask_helpers`,
  // ping requests to helpers and a last ping. The pointers are valid until probes are added or removed.
  struct Due {
    Probe* probe;
    bool ask_helpers;
  };
  std::vector<Due> DueProbes(Time now);

  // Handles an ack with `seq` from `sender`; an ack from a helper counts only if `sender_live`. Removes the
  // probe that it answers and returns its target, or nullopt if it answers none.
  std::optional<std::string> OnAck(std::uint64_t seq, const std::string& sender, bool sender_live);
  // Handles a nack with `seq`. Returns false if it belongs to no probe, or if there were more nacks than ping
  // requests.
  bool OnNack(std::uint64_t seq);

  bool CanRelay() const { return relays_.size() < kMaxRelays; }
  // Must be called only if CanRelay().
  void AddRelay(RelayedProbe relay) { relays_.push_back(std::move(relay)); }
  // Removes and returns the relayed probe that an ack with `seq` from `sender` answers, or returns nullopt if
  // it answers none.
  std::optional<RelayedProbe> TakeRelay(std::uint64_t seq, const std::string& sender);
  // Marks the relayed probes whose requesters have to get a nack now, and returns copies of them.
  std::vector<RelayedProbe> TakeDueNacks(Time now);
  void RemoveEndedRelays(Time now);

  // Returns the next live member to probe, each one once per round in random order. Returns null if there are
  // no live members.
  Member* NextTarget(MemberTable& table, const RandomBits& random);

  void Clear();  // removes all probes and relayed probes
  void ClearProbes() { probes_.clear(); }

 private:
  std::vector<Probe> probes_;
  std::vector<RelayedProbe> relays_;
  std::vector<std::string> round_;  // names that are left in this round, the next one last
};

// Returns up to `count` helpers for an indirect probe, from as many zones as possible: a cut between two
// zones must not affect all helpers.
std::vector<const Member*> ChooseHelpers(const std::vector<Member*>& live, const Member* target,
                                         std::size_t count, const RandomBits& random);

}  // namespace ryeglade::membership
