// What a node shares with the other nodes: membership, gossip about replicas and traffic, and the status
// address that shows both. Each is there only where the settings ask for it.
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
  // `settings.membership` must be on. The pointers must outlive this object; `observer` may be null.
  // `restart_path`: the file by which processes of one node pass the membership on.
  ClusterService(Core* core, const EdgeSettings& settings, Decisions* decisions, ClusterObserver* observer,
                 const ReplicaViewPort* replicas, const std::string& restart_path);
  // Listens at the status address, where there is one. Throws std::runtime_error if it can't be used.
  void StartStatus();
  // Joins the other nodes. Throws the same.
  void Start();
  void Leave() { membership_.Leave(); }  // tells the other nodes; goes on answering them
  void Close();

 private:
  membership::Membership membership_;
  std::unique_ptr<gossip::Gossip> gossip_;
  std::unique_ptr<membership::StatusFront> status_front_;
  std::unique_ptr<Downstream> status_listener_;
};

}  // namespace ryeglade
