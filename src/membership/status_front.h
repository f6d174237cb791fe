// The status address of the membership: what this node thinks of the others, as JSON and as Prometheus
// series, for `ryeglade nodes` and for monitoring. It changes nothing.
#pragma once

#include <functional>
#include <string>
#include <utility>

#include "http/downstream.h"
#include "membership/membership.h"

namespace ryeglade::membership {

class StatusFront : public Front {
 public:
  static constexpr std::size_t kSockets = 8;
  static constexpr Time kReadWithin = 5'000'000;

  // `tier`: what the node does with what the others tell it, as JSON; null: nothing.
  StatusFront(const Membership* membership, std::string node, std::function<std::string()> tier)
      : membership_(membership), node_(std::move(node)), tier_(std::move(tier)) {}
  void Use(Downstream* downstream) { downstream_ = downstream; }

  void OnRequest(Handle connection, HttpRequest request) override;
  void OnClientDisconnected(Handle) override {}
  void OnBackpressure(Handle, bool) override {}

 private:
  std::string AllJson() const;
  std::string OneJson(const std::string& name) const;
  std::string Series() const;

  const Membership* membership_;
  std::string node_;
  std::function<std::string()> tier_;
  Downstream* downstream_ = nullptr;
};

}  // namespace ryeglade::membership
