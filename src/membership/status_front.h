// Serves the status address of the membership: this node's view of the others as JSON and as Prometheus
// series, for `ryeglade nodes` and for monitoring. Read-only.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "http/downstream.h"
#include "membership/membership.h"

namespace ryeglade::membership {

// Serves GET /nodes, /nodes/NAME, /metrics and /tier.
class StatusFront : public Front {
 public:
  static constexpr std::size_t kSockets = 8;
  static constexpr Time kReadWithin = 5'000'000;  // microseconds for reading a request's head

  // `membership` is not owned. `gossip_status` returns the gossip's state as JSON for the path /tier; it is
  // null if the node has no gossip.
  StatusFront(const Membership* membership, std::string node, std::function<std::string()> gossip_status)
      : membership_(membership), node_(std::move(node)), gossip_status_(std::move(gossip_status)) {}
  // Must be called before the first request. Not owned.
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  std::string NodesJson() const;
  std::string NodeJson(const std::string& name) const;  // empty if the name is not known
  std::string Metrics() const;

  const Membership* membership_;
  std::string node_;
  std::function<std::string()> gossip_status_;
  Downstream* downstream_ = nullptr;
};

}  // namespace ryeglade::membership
