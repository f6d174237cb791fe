// The I/O side of the gossip among the nodes, on this node's loop: counts this node's requests, observes the
// decision module's view of the fleet, sends and receives messages on the membership's datagrams, and passes
// the combined knowledge of the nodes to the decision module. The decisions are made in shared_state_model.h.
// Off unless the settings have a table [tier].
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

// Counts of gossip messages since the start of the process.
struct GossipTraffic {
  std::uint64_t sent = 0;
  std::uint64_t received = 0;
  std::uint64_t accepted = 0;  // received with a report that was newer than the known one
  // Received but rejected by the decoder, by reason; the reasons are a fixed set.
  std::map<std::string, std::uint64_t> dropped;
};

// Sends and receives this node's gossip. Not thread-safe: all calls must come from the loop's thread.
class Gossip : public GossipPort, public DecisionRecorder {
 public:
  // `node` is this node's name; `incarnation` must be higher with each process of this node. The pointers are
  // not owned and must outlive this object.
  Gossip(const Runtime* runtime, const GossipSettings& settings, const std::string& node,
         std::uint64_t incarnation, const ClusterViewPort* view, const ReplicaViewPort* fleet,
         EventPort* events);

  void Start();  // begins to observe, report and evaluate at a fixed interval
  void Close();

  std::vector<std::string> TakeMessages(std::size_t capacity, std::size_t overhead) override;
  bool has_pending() const override { return queue_.has_pending(); }
  void OnMessages(const std::vector<std::string>& messages) override;

  void OnStart(const std::string&, std::uint64_t, Time) override {}
  void OnDecision(Time now, const policy::Event& event, const std::vector<policy::Action>& actions) override;

  const SharedStateModel& model() const { return model_; }
  const GossipTraffic& traffic() const { return traffic_; }
  std::string StatusJson() const;  // the state for operators, for the path /tier of the status address

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
  std::string logged_state_;                   // of the traffic share, as logged last
  std::map<policy::ReplicaId, Time> ejected_;  // ejections by consensus that were logged, and their ends
  std::vector<policy::ReplicaView> observed_fleet_;  // a buffer that OnTimer reuses
};

}  // namespace ryeglade::gossip
