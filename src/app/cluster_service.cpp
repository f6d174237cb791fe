#include "app/cluster_service.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <utility>

#include "base/log.h"

namespace ryeglade {
namespace {

constexpr std::size_t kMaxStatusRequest = 1024;  // bytes

Downstream::Options StatusListenerOptions(const std::string& address) {
  Downstream::Options options;
  options.listen = address;
  options.share_port = true;
  options.max_connections = membership::StatusFront::kSockets;
  options.max_body = kMaxStatusRequest;
  options.request_timeout = membership::StatusFront::kReadWithin;
  return options;
}

std::size_t ConfiguredNodes(const Config& config) {
  return static_cast<std::size_t>(std::max(1, config.settings.node_count));
}

}  // namespace

ClusterService::ClusterService(Core* core, const EdgeSettings& settings, Decisions* decisions,
                               ClusterObserver* observer, const ReplicaViewPort* replicas,
                               const std::string& restart_path)
    : membership_(core, settings.membership, core->config->name.empty() ? "node" : core->config->name,
                  ConfiguredNodes(*core->config), decisions, observer, restart_path) {
  if (settings.gossip.enabled) {
    gossip_ = std::make_unique<gossip::Gossip>(core, settings.gossip, membership_.name(), membership_.uid(),
                                               &membership_, replicas, decisions);
    membership_.CarryGossip(gossip_.get());
    decisions->AddRecorder(gossip_.get());
  }
  if (settings.membership.status_address.empty()) return;
  const auto gossip_status =
      gossip_ == nullptr ? nullptr : std::function([this] { return gossip_->StatusJson(); });
  status_front_ = std::make_unique<membership::StatusFront>(&membership_, core->config->name, gossip_status);
  status_listener_ = std::make_unique<Downstream>(core, status_front_.get(),
                                                  StatusListenerOptions(settings.membership.status_address));
  status_front_->Use(status_listener_.get());
}

void ClusterService::StartStatus() {
  if (status_listener_ == nullptr) return;
  Log(Level::kInfo, "listening-nodes", {{"addr", status_listener_->Listen()}});
}

void ClusterService::Start() {
  membership_.Start();
  if (gossip_ != nullptr) gossip_->Start();
}

void ClusterService::Close() {
  if (gossip_ != nullptr) gossip_->Close();
  membership_.Close();
  if (status_listener_ != nullptr) status_listener_->Close();
}

}  // namespace ryeglade
