// The node's part in a cluster: membership, gossip about replicas and traffic, and the status address that
// shows both. Gossip and the status address are optional.
#pragma once

#include <memory>
#include <string>

#include "core/core.h"
#include "core/decisions.h"
#include "gossip/gossip.h"
#include "http/downstream.h"
#include "membership/membership.h"
#include "membership/status_front.h"
#include "settings/edge_settings.h"

namespace ryeglade {

class ClusterService {
 public:
  // `settings.membership` must be enabled. The pointers must outlive this object; `observer` may be null.
  // `restart_path` is the file through which successive processes of one node hand over the membership.
  ClusterService(Core* core, const EdgeSettings& settings, Decisions* decisions, ClusterObserver* observer,
                 const ReplicaViewPort* replicas, const std::string& restart_path);
  // Listens at the status address, if one is set. Throws std::runtime_error if the address can't be used.
  void StartStatus();
  // Joins the other nodes. Throws std::runtime_error if the membership address can't be used.
  void Start();
  void Leave() { membership_.Leave(); }  // announces it to the other nodes, and keeps answering them
  void Close();

 private:
  membership::Membership membership_;
  std::unique_ptr<gossip::Gossip> gossip_;                 // null if gossip is off
  std::unique_ptr<membership::StatusFront> status_front_;  // null without a status address
  std::unique_ptr<Downstream> status_listener_;            // null without a status address
};

}  // namespace ryeglade
