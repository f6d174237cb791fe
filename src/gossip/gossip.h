// What the nodes tell each other on this node's loop: it counts what comes, looks at the decision module's
// sight of the fleet, puts words on the membership's messages, and tells the module what the tier knows. What
// is decided lies in tier_model.h; off unless the settings have a table [tier].
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "base/runtime.h"
#include "core/ports.h"
#include "gossip/gossip_queue_model.h"
#include "gossip/shared_state_model.h"
#include "settings/edge_settings.h"

namespace ryeglade::gossip {

struct WordTraffic {
  std::uint64_t out = 0, in = 0, news = 0;       // words; of those that came, those that were news
  std::map<std::string, std::uint64_t> dropped;  // by reason; a fixed set of words
};

class Tier : public GossipPort, public DecisionRecorder {
 public:
  // `node`: this one's name; `life` rises with each of its processes.
  Tier(const Runtime* run, const GossipSettings& settings, const std::string& node, std::uint64_t life,
       const ClusterViewPort* view, const ReplicaViewPort* fleet, EventPort* events);

  void Start();
  void Close();

  std::vector<std::string> TakeMessages(std::size_t room, std::size_t overhead) override;
  bool has_pending() const override { return gossip_.waiting(); }
  void OnMessages(const std::vector<std::string>& words) override;

  void OnStart(const std::string&, std::uint64_t, Time) override {}
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) override;

  const TierModel& model() const { return model_; }
  const WordTraffic& traffic() const { return traffic_; }
  std::string StatusJson() const;  // for people

 private:
  void Turn();

  const Runtime* run_;
  std::string node_;
  const ClusterViewPort* view_;
  const ReplicaViewPort* fleet_;
  EventPort* events_;
  TierModel model_;
  GossipModel gossip_;
  WordTraffic traffic_;
  DeadlineId turn_{};
  std::string state_;
  std::map<policy::ReplicaId, Time> left_alone_;
  std::vector<policy::ReplicaView> seen_;  // scratch
};

}  // namespace ryeglade::gossip
