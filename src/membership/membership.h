// The membership of this node on its loop: datagrams, exchanges over connections, the hand-over to another
// process of the same node, and who is told. What is decided lies in membership_model.h.
#pragma once

#include <uv.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <pcg_random.hpp>
#include <string>
#include <string_view>

#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/state_file.h"
#include "base/tcp.h"
#include "core/ports.h"
#include "limits/networks.h"
#include "membership/membership_model.h"
#include "membership/node_count_policy.h"
#include "settings/edge_settings.h"

namespace ryeglade::membership {

struct Traffic {
  std::uint64_t datagrams_in = 0, datagrams_out = 0, bytes_in = 0, bytes_out = 0;
  std::uint64_t exchanges = 0, exchanges_failed = 0, unsent = 0;
  std::map<std::string, std::uint64_t> dropped;  // by reason; a fixed set of words
};

class Membership : public TcpOwner, public ClusterViewPort {
 public:
  static constexpr std::size_t kSockets = 1 + 1 + 8 + 4;  // datagrams, listener, exchanges in and out

  // `nodes`: what the decision module was built with. `events` and `tap` may be null.
  Membership(const Runtime* run, const MembershipSettings& settings, const std::string& node,
             std::size_t nodes, EventPort* events, ClusterObserver* tap, std::string hand_over_path);
  ~Membership() override;

  // Throws std::runtime_error if the address can't be had and no other process of this node holds it.
  void Start();
  // What rides on this node's messages from now on; before Start.
  void Carry(GossipPort* words) { words_ = words; }
  std::uint64_t uid() const { return uid_; }  // rises with each process of this node
  void Leave();                               // said to all; goes on answering
  void Close();                               // last words

  ClusterView View() const override;
  const Model& model() const { return *model_; }
  const Traffic& traffic() const { return traffic_; }
  std::size_t told() const { return tier_.told(); }
  const char* phase() const;  // "active", "waiting" for the process before, or "yielded" to the next
  const std::string& address() const { return address_; }
  const std::string& name() const { return node_; }
  std::uint32_t speaks() const { return settings_.protocol_version; }

  void OnConnected(Handle call, int status) override;
  void OnRead(Handle call, std::string_view bytes) override;
  void OnEnded(Handle call) override;
  void OnDrained(Handle call) override;

 private:
  enum class Phase : std::uint8_t { kWaiting, kActive, kYielded, kClosed };
  struct Call {
    Tcp* tcp = nullptr;
    bool dialled = false, answered = false;
    std::string text;  // what has come
    DeadlineId deadline{};
  };

  bool Open();  // binds both; false: the address is in use
  void Shut();
  void WaitForAddress();
  void Begin();
  void Tick();
  void Act();
  void Datagram(std::string_view bytes, const sockaddr* from);
  void SendTo(const std::string& to, Message message);
  void Dial(const std::string& to);
  void AcceptOne();
  void End(Handle call, bool good);
  void Drop(const char* why);
  void Say(const Note& note);
  void Told(const std::string& text);  // from another process of this node
  void Tell(const char* kind);

  const Runtime* run_;
  MembershipSettings settings_;
  EventPort* events_;
  ClusterObserver* tap_;
  GossipPort* words_ = nullptr;
  TierPolicy tier_;
  std::string node_, address_;
  sockaddr_storage local_{};
  limits::Networks networks_;
  pcg64 random_;
  std::unique_ptr<Model> model_;
  Actions actions_;
  Phase phase_ = Phase::kWaiting;
  bool leaving_ = false;
  uv_udp_t* udp_ = nullptr;  // freed by its close
  uv_tcp_t* listener_ = nullptr;
  SlotTable<Call> calls_;
  std::size_t calls_in_ = 0, calls_out_ = 0;
  StateFile hand_over_;
  std::uint64_t uid_ = 0, above_ = 0;
  DeadlineId tick_{}, wait_{};
  Traffic traffic_;
  Time second_ = 0, dropped_told_ = 0;
  std::size_t in_second_ = 0;
  std::map<std::string, std::uint64_t> dropped_untold_;
};

}  // namespace ryeglade::membership
