// All that a node does with what the nodes tell each other: its part of the tier's traffic, the evidence on
// replicas and the shares of beginnings, each by a dial of its own, told to the decision module as events. In
// doubt, alone or switched off it leads back to what a node without talk goes by. Hosted alike by the node
// and by the emulator. No I/O, no clock.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "gossip/outlier_consensus_model.h"
#include "gossip/prefix_traffic_model.h"
#include "gossip/traffic_share_model.h"

namespace ryeglade::gossip {

struct Uses {
  bool parts = true, evidence = true, beginnings = true;
};

struct TierLimits {
  ShareLimits share;
  EvidenceLimits evidence;
  BeginningLimits beginnings;
  Time judge_every = 500'000;
  Time stand = 30'000'000;  // in doubt what was told of beginnings stands so long
};

class TierModel {
 public:
  // `life` rises with each process of this node.
  TierModel(std::string self, std::uint64_t life, Time now, Uses uses, TierLimits limits = {});

  void Arrived(Time now, std::uint64_t beginning);
  // Who is in the view, this node left out or not.
  void View(Time now, const std::vector<EvidenceModel::Peer>& members, const std::string& zone, bool sure,
            bool settled);
  // What this node sees of all listed replicas; to be called before each Turn.
  void See(Time now, const std::vector<policy::ReplicaView>& fleet, bool doubt);
  // A word from anywhere; false: it is older than what is known, or of no member.
  bool Learn(Time now, const Telling& telling);
  // What this node is to tell all others now; null: nothing new is due.
  std::optional<Word> Tell(Time now);
  // What the decision module is to be told, in order. `nodes`: in the tier, as the module goes by.
  std::vector<policy::Event> Turn(Time now, std::size_t nodes);

  const ShareModel& shares() const { return share_; }
  const EvidenceModel& evidence() const { return evidence_; }
  const BeginningsModel& beginnings() const { return beginnings_; }
  double part() const { return part_; }
  // This node's part as it was told to the module last; 0: never.
  double told_part() const { return told_part_; }
  const Uses& uses() const { return uses_; }

 private:
  std::string self_;
  Uses uses_;
  TierLimits limits_;
  ShareModel share_;
  EvidenceModel evidence_;
  BeginningsModel beginnings_;
  std::map<std::string, bool> members_;
  bool sure_ = false;
  Time judged_ = 0, doubt_since_ = -1;
  double part_ = 0, told_part_ = 0;
  int urgent_ = 0;  // when the last word was told
};

}  // namespace ryeglade::gossip
