#include "membership/membership.h"

#include <netinet/in.h>

#include <algorithm>
#include <array>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "membership/message_codec.h"

namespace ryeglade::membership {
namespace {

// Spans in microseconds.
constexpr Time kMinExchangeTimeout = 2'000'000;
constexpr Time kLogDroppedInterval = 10'000'000;
constexpr Time kAddressRetryInterval = 100'000;
constexpr Time kAddressRetryIntervalAfterYield = 2'000'000;
constexpr unsigned kHandoverPollMs = 100;

constexpr std::size_t kMaxDatagramsPerSecond = 5000;  // from all peers; further datagrams are dropped unread
constexpr int kMaxGossipMessagesPerTick = 2;          // additional messages while gossip is pending

std::string FormatAddress(const sockaddr* address) {
  char host[64] = {};
  if (address->sa_family == AF_INET6) {
    const auto* in6 = reinterpret_cast<const sockaddr_in6*>(address);
    uv_ip6_name(in6, host, sizeof host);
    return std::string("[") + host + "]:" + std::to_string(ntohs(in6->sin6_port));
  }
  const auto* in4 = reinterpret_cast<const sockaddr_in*>(address);
  uv_ip4_name(in4, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(in4->sin_port));
}

void AllocateDatagram(uv_handle_t*, std::size_t, uv_buf_t* buffer) {
  // Shared by all reads: each datagram is handled before the next one is read.
  static std::array<char, 2048> datagram;
  *buffer = uv_buf_init(datagram.data(), static_cast<unsigned>(datagram.size()));
}

}  // namespace

Membership::Membership(const Runtime* runtime, const MembershipSettings& settings, const std::string& node,
                       std::size_t nodes, EventPort* events, ClusterObserver* observer,
                       std::string handover_path)
    : runtime_(runtime),
      settings_(settings),
      events_(events),
      observer_(observer),
      node_count_(nodes, settings.shrink_after),
      node_(node),
      address_(settings.advertise),
      exchanges_(runtime, &networks_, std::max<Time>(kMinExchangeTimeout, 3 * settings.probe_interval), this),
      handover_(runtime->loop, std::move(handover_path),
                [this](const std::string& text) { OnSiblingMessage(text); }) {
  for (const std::string& network : settings.networks) networks_.Add(network);
  ParseAddress(settings.listen, &local_);
  std::uint64_t seed[2] = {};
  uv_random(nullptr, nullptr, seed, sizeof seed, 0, nullptr);
  random_.seed(seed[0], seed[1]);
  uid_ = (static_cast<std::uint64_t>(Now() / 1000) << 20) | (seed[0] & 0xfffff);
}

Membership::~Membership() = default;

const char* Membership::phase() const {
  switch (phase_) {
    case Phase::kWaiting:
      return "waiting";
    case Phase::kActive:
      return "active";
    case Phase::kYielded:
    case Phase::kClosed:
      break;
  }
  return "yielded";
}

// ---- The sockets, and the hand-over of their address ----

bool Membership::OpenSockets() {
  udp_ = new uv_udp_t;
  listener_ = new uv_tcp_t;
  uv_udp_init(runtime_->loop, udp_);
  uv_tcp_init(runtime_->loop, listener_);
  udp_->data = this;
  listener_->data = this;
  int error = uv_udp_bind(udp_, reinterpret_cast<const sockaddr*>(&local_), 0);
  sockaddr_storage bound = local_;
  if (error == 0) {
    int length = sizeof bound;
    error = uv_udp_getsockname(udp_, reinterpret_cast<sockaddr*>(&bound), &length);
  }
  // Connections use the same port as datagrams, also if the kernel chose it.
  if (error == 0) error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&bound), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 16, [](uv_stream_t* stream, int status) {
      if (status == 0) static_cast<Membership*>(stream->data)->exchanges_.Accept(stream);
    });
  }
  if (error == 0) error = uv_udp_recv_start(udp_, AllocateDatagram, OnUdpRead);
  if (error != 0) {
    CloseSockets();
    if (error == UV_EADDRINUSE) return false;
    throw std::runtime_error("membership.listen: can't open UDP and TCP at " + settings_.listen + ": " +
                             uv_strerror(error) + "; give an ip:port of this host");
  }
  const std::string bound_to = FormatAddress(reinterpret_cast<const sockaddr*>(&bound));
  if (settings_.advertise.empty()) address_ = bound_to;
  Log(Level::kInfo, "listening-membership",
      {{"addr", bound_to}, {"advertise", address_}, {"cluster", settings_.cluster}});
  return true;
}

void Membership::CloseSockets() {
  exchanges_.CloseAll();
  if (udp_ != nullptr) {
    uv_close(reinterpret_cast<uv_handle_t*>(udp_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_udp_t*>(handle); });
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
  }
  udp_ = nullptr;
  listener_ = nullptr;
}

void Membership::Start() {
  handover_.Watch(kHandoverPollMs);
  if (OpenSockets()) return Activate();
  // The address is in use, presumably by another process of this node, which is asked to yield it.
  Log(Level::kInfo, "membership-waits", {{"addr", settings_.listen}});
  WriteToSibling("wants");
  WaitForAddress();
}

void Membership::WaitForAddress() {
  const Time interval = phase_ == Phase::kYielded ? kAddressRetryIntervalAfterYield : kAddressRetryInterval;
  address_retry_ = runtime_->deadlines->Set(Now() + interval, [this] {
    address_retry_ = {};
    if (phase_ == Phase::kClosed || leaving_) return;
    bool open = false;
    try {
      open = OpenSockets();
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "membership-address", {{"why", e.what()}});
    }
    if (open) {
      Activate();
    } else {
      WaitForAddress();
    }
  });
}

MembershipOptions Membership::ModelOptions() const {
  MembershipOptions options;
  options.cluster = settings_.cluster;
  options.probe_interval = settings_.probe_interval;
  options.suspicion_intervals = settings_.suspicion_multiplier;
  options.push_pull_intervals =
      static_cast<double>(settings_.push_pull_interval) / static_cast<double>(settings_.probe_interval);
  options.forget_after = settings_.forget_dead_after;
  options.max_members = settings_.max_members;
  options.max_datagram_bytes = kMaxDatagramBytes;
  options.schema = settings_.protocol_version;
  options.seeds = settings_.seeds;
  return options;
}

void Membership::Activate() {
  phase_ = Phase::kActive;
  MemberRecord self;
  self.name = node_;
  self.address = address_;
  self.zone = settings_.zone;
  self.uid = uid_;
  self.incarnation = std::max(static_cast<std::uint64_t>(Now() / 1000), sibling_incarnation_ + 1);
  model_ =
      std::make_unique<MembershipModel>(ModelOptions(), std::move(self), Now(), [this] { return random_(); });
  WriteToSibling("holds");
  OnTick();
}

// The text comes from a file and is untrusted.
void Membership::OnSiblingMessage(const std::string& text) {
  const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
  if (!json.is_object() || !json.contains("kind") || !json["kind"].is_string() || !json.contains("uid") ||
      !json["uid"].is_number_unsigned() || !json.contains("incarnation") ||
      !json["incarnation"].is_number_unsigned())
    return;
  const std::uint64_t uid = json["uid"];
  const std::uint64_t incarnation = json["incarnation"];
  if (uid == uid_ || incarnation > (std::uint64_t{1} << 62)) return;
  if (json["kind"] == "yields") sibling_incarnation_ = std::max(sibling_incarnation_, incarnation);
  if (json["kind"] != "wants" || phase_ != Phase::kActive || uid < uid_) return;
  Log(Level::kInfo, "membership-yields", {{"uid", uid}});
  phase_ = Phase::kYielded;
  runtime_->deadlines->Cancel(tick_);
  CloseSockets();
  WriteToSibling("yields");
  WaitForAddress();  // takes the address back if the other process ends before it opens it
}

void Membership::WriteToSibling(const char* kind) {
  const std::uint64_t incarnation = model_ == nullptr ? 0 : model_->self().incarnation;
  handover_.Write(nlohmann::json{{"kind", kind}, {"uid", uid_}, {"incarnation", incarnation}}.dump());
}

void Membership::Leave() {
  leaving_ = true;
  if (phase_ != Phase::kActive) return;
  actions_.Clear();
  model_->Leave(Now(), actions_);
  Log(Level::kInfo, "membership-leaves");
  Execute();
}

void Membership::Close() {
  if (phase_ == Phase::kActive && leaving_) {
    actions_.Clear();
    model_->AnnounceLeft(Now(), actions_);
    Execute();
  }
  phase_ = Phase::kClosed;
  runtime_->deadlines->Cancel(tick_);
  runtime_->deadlines->Cancel(address_retry_);
  CloseSockets();
  handover_.Close();
}

// ---- Timer ----

void Membership::OnTick() {
  tick_ = runtime_->deadlines->Set(Now() + model_->tick_interval(), [this] { OnTick(); });
  actions_.Clear();
  model_->Tick(Now(), actions_);
  for (int i = 0; i < kMaxGossipMessagesPerTick && gossip_ != nullptr && gossip_->has_pending(); ++i) {
    model_->SendToRandomMember(Now(), actions_);
    Execute();
  }
  Execute();
  if (settings_.update_node_count && events_ != nullptr) UpdateNodeCount();
  LogDropped();
}

void Membership::UpdateNodeCount() {
  const NodeCountFacts facts{model_->live(), model_->joined(), model_->partition_suspected(),
                             model_->stable(), model_->stable_since()};
  const std::optional<std::size_t> nodes = node_count_.Update(Now(), facts);
  if (!nodes) return;
  Log(Level::kInfo, "node-count", {{"nodes", *nodes}});
  events_->Post(policy::NodeCountChanged{static_cast<int>(*nodes)});
}

void Membership::LogDropped() {
  if (dropped_unlogged_.empty() || Now() - dropped_logged_at_ < kLogDroppedInterval) return;
  dropped_logged_at_ = Now();
  for (const auto& [why, n] : dropped_unlogged_)
    Log(Level::kWarn, "member-messages-dropped", {{"why", why}, {"n", n}});
  dropped_unlogged_.clear();
}

void Membership::Execute() {
  Actions actions;
  std::swap(actions, actions_);
  for (const MembershipEvent& event : actions.events) LogEvent(event);
  for (OutgoingMessage& send : actions.sends) SendDatagram(send.to, std::move(send.message));
  for (const std::string& to : actions.push_pulls) StartExchange(to);
}

void Membership::LogEvent(const MembershipEvent& event) {
  const std::string_view reason = event.reason;
  const bool is_warning = reason == "member-dead" || reason == "view-in-doubt" || reason == "name-taken" ||
                          reason == "name-conflict" || reason == "self-paused";
  if (event.span > 0) {
    Log(Level::kWarn, reason, {{"member", event.member}, {"ms", event.span / 1000}});
  } else {
    Log(is_warning ? Level::kWarn : Level::kInfo, reason,
        {{"member", event.member}, {"by", event.reporter}, {"n", event.value}});
  }
  if (observer_ != nullptr)
    observer_->OnClusterEvent(Now(), reason, event.member, event.reporter, event.value, model_->live());
}

// ---- Datagrams ----

void Membership::CountDropped(const char* why) {
  ++traffic_.dropped[why];
  ++dropped_unlogged_[why];
}

void Membership::OnUdpRead(uv_udp_t* udp, ssize_t length, const uv_buf_t* buffer, const sockaddr* from,
                           unsigned flags) {
  if (length <= 0 || from == nullptr) return;
  auto* membership = static_cast<Membership*>(udp->data);
  const auto bytes = static_cast<std::size_t>(length);
  if ((flags & UV_UDP_PARTIAL) != 0 || bytes > kMaxDatagramBytes) return membership->CountDropped("too-long");
  membership->OnDatagram({buffer->base, bytes}, from);
}

void Membership::OnDatagram(std::string_view bytes, const sockaddr* from) {
  ++traffic_.datagrams_in;
  traffic_.bytes_in += bytes.size();
  const Time second = Now() / 1'000'000;
  if (second != current_second_) {
    current_second_ = second;
    datagrams_this_second_ = 0;
  }
  if (++datagrams_this_second_ > kMaxDatagramsPerSecond) return CountDropped("too-many");
  sockaddr_storage peer{};
  std::copy_n(reinterpret_cast<const char*>(from), SockaddrLength(from), reinterpret_cast<char*>(&peer));
  if (!networks_.Contains(peer)) return CountDropped("networks");
  const char* why = "";
  const std::optional<Message> message = Decode(bytes, &why);
  if (!message) return CountDropped(why);
  why = model_->RejectReason(*message);
  if (*why != '\0') return CountDropped(why);
  const std::string address = FormatAddress(from);
  if (address != message->sender.address) return CountDropped("source");
  actions_.Clear();
  model_->OnMessage(Now(), address, *message, actions_);
  Execute();
  // Gossip is accepted only from live members, that is after a round trip with the sender.
  if (gossip_ == nullptr || message->gossip.empty()) return;
  if (IsLive(model_->StateOf(message->sender.name))) gossip_->OnMessages(message->gossip);
}

void Membership::SendDatagram(const std::string& to, Message message) {
  sockaddr_storage address{};
  if (udp_ == nullptr || !ParseAddress(to, &address) || !networks_.Contains(address))
    return CountDropped("no-address");
  std::string bytes = Encode(message);
  // The header of the array of updates may grow by this much when gossip payloads are appended to the array.
  constexpr std::size_t kArrayHeaderGrowthBytes = 4;
  if (gossip_ != nullptr && gossip_->has_pending() &&
      bytes.size() + kArrayHeaderGrowthBytes < kMaxDatagramBytes) {
    message.gossip = gossip_->TakeMessages(kMaxDatagramBytes - kArrayHeaderGrowthBytes - bytes.size(),
                                           kGossipPayloadOverhead);
    if (!message.gossip.empty()) bytes = Encode(message);
  }
  const uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
  if (uv_udp_try_send(udp_, &buffer, 1, reinterpret_cast<const sockaddr*>(&address)) < 0) {
    ++traffic_.unsent;  // the protocol tolerates lost datagrams
    return;
  }
  ++traffic_.datagrams_out;
  traffic_.bytes_out += bytes.size();
}

// ---- Push-pull exchanges ----

void Membership::StartExchange(const std::string& to) {
  sockaddr_storage address{};
  if (udp_ == nullptr || !ParseAddress(to, &address) || !networks_.Contains(address)) return;
  // Connects from the address that peers know this node by, with a port chosen by the kernel.
  sockaddr_storage from = local_;
  if (from.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6*>(&from)->sin6_port = 0;
  } else {
    reinterpret_cast<sockaddr_in*>(&from)->sin_port = 0;
  }
  exchanges_.Start(from, address);
}

std::string Membership::PushPullBytes() { return Encode(model_->PushPullMessage()); }

bool Membership::OnPushPullBytes(std::string_view bytes, bool initiated) {
  const char* why = "";
  std::optional<Message> message = Decode(bytes, &why);
  if (message && message->kind != MessageKind::kPushPull) {
    why = "malformed";
    message.reset();
  }
  if (message) {
    why = model_->RejectReason(*message);
    if (*why != '\0') message.reset();
  }
  if (!message) {
    CountDropped(why);
    return false;
  }
  actions_.Clear();
  model_->OnPushPull(Now(), *message, initiated, actions_);
  Execute();
  return true;
}

// ---- The view ----

ClusterView Membership::View() const {
  ClusterView view;
  view.announced_nodes = node_count_.announced();
  if (model_ == nullptr) return view;
  view.version = model_->view_version();
  view.joined = model_->joined();
  view.stable = model_->stable() && phase_ == Phase::kActive;
  view.partition_suspected = model_->partition_suspected() || phase_ != Phase::kActive;
  view.members.push_back({node_, settings_.zone, false});
  for (const MemberView& member : model_->View(Now())) {
    if (IsLive(member.state))
      view.members.push_back({member.record.name, member.record.zone, member.state == MemberState::kSuspect});
  }
  return view;
}

}  // namespace ryeglade::membership
