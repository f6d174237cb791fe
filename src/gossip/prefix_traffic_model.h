// Which shared beginnings the tier's traffic has, from what each node counts: so that all nodes give a
// beginning the same number of homes, though each sees few requests of it. No I/O, no clock.
//
// The homes themselves are the decision module's: by rendezvous over the replicas, so that two nodes whose
// counts differ have sets one of which holds the other.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "gossip/gossip_message_codec.h"

namespace ryeglade::gossip {

struct BeginningLimits {
  Time memory = 20'000'000;  // counts look back on so much
  Time fresh = 15'000'000;   // an older word counts no more
  double least_nodes = 0.5;  // share of the nodes that have to tell of a beginning
  std::size_t most = 256;    // beginnings that are put together
};

class BeginningsModel {
 public:
  explicit BeginningsModel(std::string self, Time now, BeginningLimits limits = {})
      : self_(std::move(self)), limits_(limits), began_(now) {}

  void Arrived(Time now, std::uint64_t beginning);  // 0: the request has none
  void Tell(Time now, Word* word) const;
  void Learn(Time made, const std::string& node, const Word& word);
  void Forget(const std::string& node) { peers_.erase(node); }
  // What the decision module is to be told; false: nothing has changed by enough.
  bool Shares(Time now, policy::PrefixTrafficReceived* shares);
  // What was told is taken back; false: nothing was.
  bool Withdraw(policy::PrefixTrafficReceived* shares);
  std::size_t told() const { return told_.size(); }

 private:
  struct Heard {
    double rate = 0;
    Time made = 0;
    std::vector<BeginningRate> beginnings;
  };
  std::vector<BeginningRate> Own(Time now, double* rate) const;

  std::string self_;
  BeginningLimits limits_;
  Time began_;
  policy::DecayingCounter all_;
  std::unordered_map<std::uint64_t, policy::DecayingCounter> counts_;
  std::map<std::string, Heard> peers_;
  std::map<std::uint64_t, double> told_;
  Time told_at_ = 0;
};

}  // namespace ryeglade::gossip
