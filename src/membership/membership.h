// The membership of this node on its loop: datagrams, push-pull exchanges over connections, the hand-over of
// the address between processes of the same node, and who is told. What is decided lies in
// membership_model.h.
#pragma once

#include <uv.h>

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "base/runtime.h"
#include "base/state_file.h"
#include "core/ports.h"
#include "limits/networks.h"
#include "membership/membership_model.h"
#include "membership/node_count_policy.h"
#include "membership/push_pull_connections.h"
#include "settings/edge_settings.h"

namespace ryeglade::membership {

// Counters since the start of the process.
struct Traffic {
  std::uint64_t datagrams_in = 0;
  std::uint64_t datagrams_out = 0;
  std::uint64_t bytes_in = 0;                    // of datagrams
  std::uint64_t bytes_out = 0;                   // of datagrams
  std::uint64_t unsent = 0;                      // datagrams that the kernel did not take
  std::map<std::string, std::uint64_t> dropped;  // by reason; a fixed set of words
};

// Runs on one loop; everything is called from it.
class Membership : public ClusterViewPort, private PushPullConnections::Owner {
 public:
  // Datagrams, listener, exchanges.
  static constexpr std::size_t kSockets = 1 + 1 + PushPullConnections::kSockets;

  // `nodes`: what the decision module was built with. `events` and `observer` may be null; the pointers are
  // not owned and outlive this. `handover_path`: a file that the processes of this node share.
  Membership(const Runtime* runtime, const MembershipSettings& settings, const std::string& node,
             std::size_t nodes, EventPort* events, ClusterObserver* observer, std::string handover_path);
  ~Membership() override;

  // Throws std::runtime_error if the address can't be had and no other process of this node has it.
  void Start();
  // Gossip that this node's messages carry from now on; before Start. Not owned.
  void CarryGossip(GossipPort* gossip) { gossip_ = gossip; }
  std::uint64_t uid() const { return uid_; }  // rises with each process of this node
  void Leave();                               // announces it to all; goes on answering
  void Close();                               // sends the last messages

  ClusterView View() const override;
  const MembershipModel& model() const { return *model_; }  // not while the phase is "waiting"
  const Traffic& traffic() const { return traffic_; }
  const PushPullConnections& exchanges() const { return exchanges_; }
  std::size_t announced_nodes() const { return node_count_.announced(); }
  const char* phase() const;  // "active", "waiting" for the process before, or "yielded" to the next
  const std::string& address() const { return address_; }
  const std::string& name() const { return node_; }
  std::uint32_t schema() const { return settings_.protocol_version; }  // that is written

 private:
  enum class Phase : std::uint8_t { kWaiting, kActive, kYielded, kClosed };
  bool OpenSockets();  // false: the address is in use
  void CloseSockets();
  void WaitForAddress();
  void Activate();
  MembershipOptions ModelOptions() const;
  void OnTick();
  void UpdateNodeCount();
  void LogDropped();
  void Execute();  // and clears actions_
  void LogEvent(const MembershipEvent& event);

  static void OnUdpRead(uv_udp_t* udp, ssize_t length, const uv_buf_t* buffer, const sockaddr* from,
                        unsigned flags);
  void OnDatagram(std::string_view bytes, const sockaddr* from);
  void SendDatagram(const std::string& to, Message message);

  void StartExchange(const std::string& to);
  std::string PushPullBytes() override;
  bool OnPushPullBytes(std::string_view bytes, bool initiated) override;
  void CountDropped(const char* why) override;

  void OnSiblingMessage(const std::string& text);  // from another process of this node
  void WriteToSibling(const char* kind);

  const Runtime* runtime_;
  MembershipSettings settings_;
  EventPort* events_;
  ClusterObserver* observer_;
  GossipPort* gossip_ = nullptr;
  NodeCountPolicy node_count_;
  std::string node_;
  std::string address_;  // as peers know it
  sockaddr_storage local_{};
  limits::Networks networks_;
  pcg64 random_;
  std::unique_ptr<MembershipModel> model_;
  Actions actions_;
  Phase phase_ = Phase::kWaiting;
  bool leaving_ = false;
  uv_udp_t* udp_ = nullptr;       // freed by its close
  uv_tcp_t* listener_ = nullptr;  // the same
  PushPullConnections exchanges_;
  StateFile handover_;
  std::uint64_t uid_ = 0;
  std::uint64_t sibling_incarnation_ = 0;  // the highest that another process of this node has used
  DeadlineId tick_{};
  DeadlineId address_retry_{};
  Traffic traffic_;
  Time current_second_ = 0;
  std::size_t datagrams_this_second_ = 0;
  Time dropped_logged_at_ = 0;
  std::map<std::string, std::uint64_t> dropped_unlogged_;  // by reason
};

}  // namespace ryeglade::membership
