// Gossip among the nodes, on this node's loop: counts this node's requests, observes the decision module's
// view of the fleet, puts messages on the membership's datagrams, and passes to the module what the nodes
// know together. What is decided lies in shared_state_model.h. Off unless the settings have a table [tier].
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

struct GossipTraffic {  // messages
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t accepted = 0;                    // of those received: newer than what was known
  std::map<std::string, std::uint64_t> dropped;  // by reason; a fixed set of words
};

// Runs on one loop; everything is called from it.
class Gossip : public GossipPort, public DecisionRecorder {
 public:
  // `node`: this one's name; `incarnation` rises with each of its processes. The ports are not owned and
  // outlive this.
  Gossip(const Runtime* runtime, const GossipSettings& settings, const std::string& node,
         std::uint64_t incarnation, const ClusterViewPort* view, const ReplicaViewPort* fleet,
         EventPort* events);

  void Start();
  void Close();

  std::vector<std::string> TakeMessages(std::size_t capacity, std::size_t overhead) override;
  bool has_pending() const override { return queue_.has_pending(); }
  void OnMessages(const std::vector<std::string>& messages) override;

  void OnStart(const std::string&, std::uint64_t, Time) override {}
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) override;

  const SharedStateModel& model() const { return model_; }
  const GossipTraffic& traffic() const { return traffic_; }
  std::string StatusJson() const;  // for people

 private:
  void OnTimer();
  void UpdateMembers(Time now, const ClusterView& view);
  void LogShareState();
  void LogEjections(Time now);

  const Runtime* runtime_;
  std::string node_;
  const ClusterViewPort* view_;
  const ReplicaViewPort* fleet_;
  EventPort* events_;
  SharedStateModel model_;
  GossipQueue queue_;
  GossipTraffic traffic_;
  DeadlineId timer_{};
  std::string logged_state_;
  std::map<policy::ReplicaId, Time> ejected_;        // by consensus, as logged; until when
  std::vector<policy::ReplicaView> observed_fleet_;  // scratch
};

}  // namespace ryeglade::gossip
