// The I/O side of this node's membership, on one event loop: datagrams, push-pull exchanges over connections,
// the hand-over of the address between processes of the same node, and the notification of the decision
// module and of the observer. The decisions are made in membership_model.h.
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
  std::uint64_t bytes_in = 0;                    // in datagrams
  std::uint64_t bytes_out = 0;                   // in datagrams
  std::uint64_t unsent = 0;                      // datagrams that the kernel did not accept
  std::map<std::string, std::uint64_t> dropped;  // messages, by reason; the reasons are a fixed set
};

// Runs the membership of this process. Not thread-safe: all calls must come from the loop's thread.
class Membership : public ClusterViewPort, private PushPullConnections::Owner {
 public:
  // One UDP socket, one listener and the connections of the exchanges.
  static constexpr std::size_t kSockets = 1 + 1 + PushPullConnections::kSockets;

  // `nodes` is the node count with which the decision module was built. `events` and `observer` may be null.
  // The pointers are not owned and must outlive this object. `handover_path` is a file that all processes of
  // this node share.
  Membership(const Runtime* runtime, const MembershipSettings& settings, const std::string& node,
             std::size_t nodes, EventPort* events, ClusterObserver* observer, std::string handover_path);
  ~Membership() override;

  // Opens the sockets, or waits for the address if it is in use. Throws std::runtime_error if the address
  // can't be opened for another reason.
  void Start();
  // Sets the source and the receiver of the gossip that this node's datagrams carry. Must be called before
  // Start. Not owned.
  void CarryGossip(GossipPort* gossip) { gossip_ = gossip; }
  std::uint64_t uid() const { return uid_; }  // higher with each process of this node
  void Leave();  // announces to all that this node is leaving; the node still answers after that
  void Close();  // announces that this node has left, if Leave was called, and closes the sockets

  ClusterView View() const override;
  const MembershipModel& model() const { return *model_; }  // must not be called while phase() is "waiting"
  const Traffic& traffic() const { return traffic_; }
  const PushPullConnections& exchanges() const { return exchanges_; }
  std::size_t announced_nodes() const { return node_count_.announced(); }
  // "active"; "waiting" for an earlier process of this node to give up the address; or "yielded", if the
  // address was given up to a later process or this object is closed.
  const char* phase() const;
  const std::string& address() const { return address_; }  // ip:port as peers know it
  const std::string& name() const { return node_; }
  std::uint32_t schema() const { return settings_.protocol_version; }  // of the messages that it writes

 private:
  enum class Phase : std::uint8_t { kWaiting, kActive, kYielded, kClosed };
  // Returns false if the address is in use. Throws std::runtime_error on any other error.
  bool OpenSockets();
  void CloseSockets();
  void WaitForAddress();
  void Activate();
  MembershipOptions ModelOptions() const;
  void OnTick();
  void UpdateNodeCount();
  void LogDropped();
  void Execute();  // carries out actions_ and clears them
  void LogEvent(const MembershipEvent& event);

  static void OnUdpRead(uv_udp_t* udp, ssize_t length, const uv_buf_t* buffer, const sockaddr* from,
                        unsigned flags);
  void OnDatagram(std::string_view bytes, const sockaddr* from);
  void SendDatagram(const std::string& to, Message message);

  void StartExchange(const std::string& to);
  std::string PushPullBytes() override;
  bool OnPushPullBytes(std::string_view bytes, bool initiated) override;
  void CountDropped(const char* why) override;

  // Handles a message from another process of this node.
  void OnSiblingMessage(const std::string& text);
  void WriteToSibling(const char* kind);

  const Runtime* runtime_;
  MembershipSettings settings_;
  EventPort* events_;
  ClusterObserver* observer_;
  GossipPort* gossip_ = nullptr;
  NodeCountPolicy node_count_;
  std::string node_;
  std::string address_;       // ip:port as peers know it
  sockaddr_storage local_{};  // the address to listen on
  limits::Networks networks_;
  pcg64 random_;
  std::unique_ptr<MembershipModel> model_;  // null until this process has the address for the first time
  Actions actions_;
  Phase phase_ = Phase::kWaiting;
  bool leaving_ = false;
  uv_udp_t* udp_ = nullptr;       // freed by its close callback; null while it is closed
  uv_tcp_t* listener_ = nullptr;  // freed by its close callback; null while it is closed
  PushPullConnections exchanges_;
  StateFile handover_;
  std::uint64_t uid_ = 0;                  // of this process
  std::uint64_t sibling_incarnation_ = 0;  // the highest incarnation that another process of this node used
  DeadlineId tick_{};
  DeadlineId address_retry_{};
  Traffic traffic_;
  Time current_second_ = 0;  // the second in which datagrams_this_second_ is counted
  std::size_t datagrams_this_second_ = 0;
  Time dropped_logged_at_ = 0;
  std::map<std::string, std::uint64_t> dropped_unlogged_;  // by reason, since the last log
};

}  // namespace ryeglade::membership
