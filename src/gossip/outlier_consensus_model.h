// What the nodes have seen of each replica, put together: which replicas are left alone because others found
// them failing, how slow others found each, and what nodes that have died still have out there. No I/O, no
// clock.
//
// One node's word never takes a replica from another. It takes accusers at two nodes, in two zones or in this
// node's own where the tier has more than one (what one zone alone finds may be its own network, which is
// this node's too if it is in it), of whom none doubts itself, and whose failures are newer than any answer
// that somebody got there; a node's own answers come before anything that is said. The accusers that come
// first for a replica, by rendezvous, go on trying it when their own rests are over, and what they find
// releases the others. What is said of slowness is a median over all who used the replica, once somebody has
// called it slow, so that one that lies moves it no further than the others go. And never more than a share
// of the fleet rests by hearsay (docs/tier.md has the bounds).
#pragma once

#include <cstddef>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

struct EvidenceLimits {
  std::size_t accusers = 2;  // that it takes,
  std::size_t silent = 3;    // or so many where some have but waited in vain
  std::size_t tries = 3;     // of them go on trying, or one in so many nodes where that is more
  std::size_t tries_of = 32;
  double most_out = 0.2;     // of the replicas rest by hearsay at once, and at least one of four
  Time fresh = 10'000'000;   // an older word, or an older failure, accuses nobody
  Time own = 2'000'000;      // whose own answer is no older does without the others' word
  Time rests = 2'500'000;    // by hearsay, told anew while the accusations stand
  Time silence = 3'000'000;  // who has waited so long for an answer to begin accuses
  double doubts = 0.5;       // a node for which more than this share of what it used fails doubts itself
  double slow = 1.5;         // ln: so slow somebody has to find a replica before slowness is put together,
  double slow_n = 3;         // from so many answers
  double weight = 0.5;       // of an answer seen elsewhere to one seen here
  double most_n = 8;         // answers that others are worth together
  Time ends = 15'000'000;    // what a node that died had out has ended after so long
};

class EvidenceModel {
 public:
  EvidenceModel(std::string self, EvidenceLimits limits) : self_(std::move(self)), limits_(limits) {}

  struct Peer {
    std::string name, zone;
  };

  // What this node sees itself of all replicas that are listed now; `doubt`: it has reason to doubt its
  // sight.
  void See(Time now, const std::vector<policy::ReplicaView>& fleet, bool doubt);
  // Its own claims, the gravest first.
  void Tell(Time now, Word* word) const;
  // The newest word of a node, made at `made`.
  void Learn(Time made, const std::string& node, const Word& word);
  // Who is in the view, this node left out or not. `sure`: who is missing has gone; else it may live.
  void View(Time now, const std::vector<Peer>& members, const std::string& zone, bool sure);

  // What the decision module is to be told now, only where it has changed or would have faded. `part`: of the
  // tier's traffic, this node's.
  std::vector<policy::PeerReplicaReport> Judge(Time now, double part);
  // All that was told is taken back.
  std::vector<policy::PeerReplicaReport> Withdraw(Time now);

  bool doubts() const { return doubt_; }
  // Replicas that this node has something to say of that others wait for: that fail here, and that others
  // accuse though they answered here.
  int urgent() const { return accused_ + vouched_; }

  struct Line {  // of a replica that is accused or rests by hearsay
    policy::ReplicaId replica = 0;
    std::vector<std::string> accusers;  // others, whose word counts
    std::string answered;               // who got the newest answer there; empty: nobody lately
    Time rests_until = 0;               // by hearsay; 0: it does not
    const char* why = "";               // a reason word (docs/operators-tier.md)
  };
  const std::vector<Line>& Explain() const { return lines_; }

 private:
  struct Heard {
    Word word;
    Time made = 0;
    std::string zone;
    bool member = false;
  };
  struct Ghost {
    int out = 0;
    Time until = 0;
  };
  struct Replica {
    policy::ReplicaView seen;
    bool listed = false;
    policy::PeerReplicaReport told;
    Time told_at = 0;
    std::map<std::string, Ghost> ghosts;  // what nodes that have died had out
  };
  static constexpr std::size_t kMostPeers = 4096;

  bool Trusted(const Heard& h, Time now) const;
  // It has failed there, more than once or so that it rests.
  bool Fails(const Claim& c, Time age) const {
    return c.failures > 0 && (c.rests > 0 || c.failures > 1) && c.last >= 0 && c.last + age < limits_.fresh;
  }
  bool Silent(const Claim& c, Time age) const {
    return c.waits >= limits_.silence && age < limits_.fresh / 2;
  }
  bool Accuses(const Claim& c, Time age) const { return Fails(c, age) || Silent(c, age); }
  bool CallsSlow(const Claim& c) const { return c.slow >= limits_.slow && c.slow_n >= limits_.slow_n; }
  bool Tries(const std::string& node, policy::ReplicaId replica,
             const std::vector<std::string>& accusers) const;
  Claim Own(Time now, const policy::ReplicaView& v) const;

  std::string self_;
  EvidenceLimits limits_;
  std::map<policy::ReplicaId, Replica> fleet_;
  std::map<std::string, Heard> peers_;
  std::string zone_;
  bool zones_ = false;  // the tier has more than one
  bool doubt_ = false;
  int accused_ = 0, vouched_ = 0;
  std::set<policy::ReplicaId> called_slow_;  // by somebody: this node is to say what it found
  std::vector<Line> lines_;
};

}  // namespace ryeglade::gossip
