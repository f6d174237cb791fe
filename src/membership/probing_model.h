// The probes that a node has under way (SWIM's failure detector): whom it probes next, what is due of each
// probe, and the probes that it makes for others. The messages themselves are the caller's. No I/O, no clock.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "membership/member_table_model.h"
#include "membership/membership_options.h"

namespace ryeglade::membership {

// A probe of this node's own: several pings to the target itself, then through helpers.
struct Probe {
  std::uint64_t seq = 0;           // of the pings
  std::uint64_t indirect_seq = 0;  // of the ping requests: their answers are not the target's own
  std::string target;
  Time started_at = 0;
  Time timeout = 0;  // from the start until helpers are asked
  Time ends_at = 0;  // when it has failed
  int pings = 0;
  std::size_t requests = 0;  // helpers that were asked
  std::size_t nacks = 0;
  bool indirect = false;  // helpers were asked
};

// A ping request that this node carries out for another.
struct RelayedProbe {
  std::uint64_t seq = 0;            // of this node's ping
  std::uint64_t requester_seq = 0;  // of the request
  std::string target;
  std::string requester_address;
  Time nack_at = 0;
  Time ends_at = 0;
  bool nacked = false;
};

// Bounded by kMaxProbes and kMaxRelays.
class Probing {
 public:
  static constexpr std::size_t kMaxProbes = 64;
  static constexpr std::size_t kMaxRelays = 64;

  // A new probe of `target`, of which nothing is sent yet; valid until the next call. Null: there is one, or
  // there are too many.
  Probe* Start(Time now, const std::string& target, Time timeout, Time duration, const RandomBits& random);
  std::size_t size() const { return probes_.size(); }

  // Removes and returns the probes that have failed.
  std::vector<Probe> TakeFailed(Time now);
  // The probes for which something is to be sent, in order: a further ping, or, `ask_helpers`, ping requests
  // and a last ping.
  struct Due {
    Probe* probe;
    bool ask_helpers;
  };
  std::vector<Due> DueProbes(Time now);

  // An ack with `seq` came from `sender`, which is live or not. Removes the probe that it ends and returns
  // its target; null: none.
  std::optional<std::string> OnAck(std::uint64_t seq, const std::string& sender, bool sender_live);
  // A nack with `seq` came. False: it belongs to no probe, or more came than helpers were asked.
  bool OnNack(std::uint64_t seq);

  bool CanRelay() const { return relays_.size() < kMaxRelays; }
  void AddRelay(RelayedProbe relay) { relays_.push_back(std::move(relay)); }
  // Removes and returns the relayed probe that an ack with `seq` from `sender` answers; null: none.
  std::optional<RelayedProbe> TakeRelay(std::uint64_t seq, const std::string& sender);
  // Marks the relayed probes of which the requester is to get a nack now, and returns copies of them.
  std::vector<RelayedProbe> TakeDueNacks(Time now);
  void RemoveEndedRelays(Time now);

  // The next live member to probe: each once a round, in random order. Null: there is none.
  Member* NextTarget(MemberTable& table, const RandomBits& random);

  void Clear();  // of probes and relayed probes
  void ClearProbes() { probes_.clear(); }

 private:
  std::vector<Probe> probes_;
  std::vector<RelayedProbe> relays_;
  std::vector<std::string> round_;  // names, the next one last
};

// Helpers for an indirect probe, from as many zones as there are: a cut between two zones must not fool all
// of them.
std::vector<const Member*> ChooseHelpers(const std::vector<Member*>& live, const Member* target,
                                         std::size_t count, const RandomBits& random);

}  // namespace ryeglade::membership
