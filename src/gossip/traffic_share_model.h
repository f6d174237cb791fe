// Which part of the tier's traffic is this node's, so that what all nodes allow themselves of a replica adds
// up to about what it can take. Each node tells the others at what rate requests come to it; each works out
// its part from what was told, by the same rule, its own word included as it told it. No I/O, no clock.
//
// A part falls at once and rises only once the others have had time to hear why, so that while words are on
// their way the sum over all nodes stays near 1; docs/tier.md derives the bounds. What is not known is not
// guessed: a view in doubt holds parts where they are, then leads them back, by steps, to the equal part
// that a node without talk goes by.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "gossip/gossip_message_codec.h"
#include "ryeglade/learned_state.h"

namespace ryeglade::gossip {

struct ShareLimits {
  Time memory = 5'000'000;    // a rate looks back on so much
  Time tell_every = 500'000;  // and is told so often,
  Time tell_each = 0;         // or once in this time for each node, where that is longer, up to
  Time tell_most = 5'000'000;
  Time settle = 3'000'000;  // a part rises only to the least it was worked out to be for so long
  Time stale = 5'000'000;   // a word older than this no longer says what comes there; its last value stands
  Time stand = 30'000'000;  // in doubt a part stays for so long,
  double step = 0.05;       // then moves to the equal part by this share of itself a second
  double floor = 0.25;  // of the mean rate, given to each node beside its own: what may come at any moment
  double rise = 0.5;    // a part worked out without members that are absent but not settled as gone
                        // passes the last sure one by at most this share of it
};

class ShareModel {
 public:
  ShareModel(std::string self, std::uint64_t life, Time now, ShareLimits limits = {});

  void Arrived(Time now);  // a request came to this node
  // What this node is to tell all others now; null: nothing new is due. `urgent`: it has more to tell than
  // its rate.
  std::optional<Word> Tell(Time now, bool urgent = false);
  // Another node's word, from anywhere: of an older number, of no member or out of bounds it is passed over
  // (false).
  bool Learn(Time now, const std::string& node, const Word& word);
  // Who is in the view, this node left out or not; `sure`: joined and not in doubt. `settled`: unchanged for
  // a while, so those that are not in it have gone.
  void View(Time now, const std::vector<std::string>& members, bool sure, bool settled);

  // This node's part, over 0 to 1, to go by from now on. `equal`: one part of as many as are told.
  double Share(Time now, std::size_t nodes);

  struct Line {
    std::string node;
    double rate = 0;  // as told, or the mean where it has told none
    bool told = false, stale = false, absent = false;
    double share = 0;  // as worked out, before it is held back
  };
  // Where each part comes from, for people; this node first.
  std::vector<Line> Explain(Time now) const;
  Time tell_every() const;
  const char* state() const { return state_; }  // "shares", "held", "stepping-back" or "equal"

 private:
  struct Peer {
    Word word;
    Time heard = -1;      // -1: never
    bool member = false;  // in the view
  };
  static constexpr std::size_t kMostPeers = 4096;

  double Target(Time now, bool with_absent) const;
  std::vector<Line> Lines(Time now, bool with_absent) const;

  std::string self_;
  ShareLimits limits_;
  std::map<std::string, Peer> peers_;
  policy::DecayingCounter arrivals_;
  Time began_ = 0, told_at_ = -1;
  Word own_;
  bool sure_ = false, settled_ = false;
  Time doubt_since_ = -1, last_ = 0;
  Time window_since_ = 0;  // targets_ reaches back to then, at most
  double share_ = 0;       // in use; 0: none yet
  double last_sure_ = 0;   // the last that rested on a settled view
  std::deque<std::pair<Time, double>>
      targets_;  // of the last `settle`, rising from the front: a running least
  const char* state_ = "equal";
};

}  // namespace ryeglade::gossip
