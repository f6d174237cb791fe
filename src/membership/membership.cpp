#include "membership/membership.h"

#include <netinet/in.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <stdexcept>
#include <utility>

#include "base/log.h"
#include "membership/message_codec.h"

namespace ryeglade::membership {
namespace {

constexpr std::size_t kMostIn = 8, kMostOut = 4;
constexpr std::size_t kMostASecond = 5000;  // datagrams read; more are dropped unread
constexpr int kMostChats = 2;               // a tick, where words wait
constexpr Time kTellDroppedEvery = 10'000'000;
constexpr Time kTryAddressEvery = 100'000;
constexpr Time kTakeUpAgainAfter = 2'000'000;
constexpr unsigned kLookForHandOver = 100;  // ms

std::string Words(const sockaddr* address) {
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

// A message in an exchange: its length in four bytes, little-endian, ahead.
std::string Framed(const std::string& message) {
  std::string out;
  for (int i = 0; i < 4; ++i) out += static_cast<char>(message.size() >> (8 * i) & 0xff);
  return out + message;
}

}  // namespace

Membership::Membership(const Runtime* run, const MembershipSettings& settings, const std::string& node,
                       std::size_t nodes, EventPort* events, ClusterObserver* tap, std::string hand_over_path)
    : run_(run),
      settings_(settings),
      events_(events),
      tap_(tap),
      tier_(nodes, settings.shrink_after),
      node_(node),
      address_(settings.advertise),
      hand_over_(run->loop, std::move(hand_over_path), [this](const std::string& text) { Told(text); }) {
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

// ---- The address ----

bool Membership::Open() {
  udp_ = new uv_udp_t;
  listener_ = new uv_tcp_t;
  uv_udp_init(run_->loop, udp_);
  uv_tcp_init(run_->loop, listener_);
  udp_->data = listener_->data = this;
  const auto* local = reinterpret_cast<const sockaddr*>(&local_);
  int error = uv_udp_bind(udp_, local, 0);
  sockaddr_storage bound = local_;
  if (error == 0) {
    int length = sizeof bound;
    error = uv_udp_getsockname(udp_, reinterpret_cast<sockaddr*>(&bound), &length);
  }
  // The same port for connections, also where the kernel chose it.
  if (error == 0) error = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&bound), 0);
  if (error == 0) {
    error = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 16, [](uv_stream_t* s, int status) {
      if (status == 0) static_cast<Membership*>(s->data)->AcceptOne();
    });
  }
  if (error == 0) {
    error = uv_udp_recv_start(
        udp_,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
          static std::array<char, 2048> room;  // read and used within one call
          *buf = uv_buf_init(room.data(), static_cast<unsigned>(room.size()));
        },
        [](uv_udp_t* u, ssize_t n, const uv_buf_t* buf, const sockaddr* from, unsigned flags) {
          if (n <= 0 || from == nullptr) return;
          Membership* m = static_cast<Membership*>(u->data);
          if ((flags & UV_UDP_PARTIAL) != 0 || static_cast<std::size_t>(n) > kMostDatagram)
            return m->Drop("too-long");
          m->Datagram({buf->base, static_cast<std::size_t>(n)}, from);
        });
  }
  if (error != 0) {
    Shut();
    if (error == UV_EADDRINUSE) return false;
    throw std::runtime_error("membership.listen " + settings_.listen + ": " + uv_strerror(error));
  }
  const std::string at = Words(reinterpret_cast<const sockaddr*>(&bound));
  if (settings_.advertise.empty()) address_ = at;
  Log(Level::kInfo, "listening-membership",
      {{"addr", at}, {"advertise", address_}, {"cluster", settings_.cluster}});
  return true;
}

void Membership::Shut() {
  for (const Handle call : calls_.All()) End(call, false);
  if (udp_ != nullptr) {
    uv_close(reinterpret_cast<uv_handle_t*>(udp_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
    uv_close(reinterpret_cast<uv_handle_t*>(listener_),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
  }
  udp_ = nullptr;
  listener_ = nullptr;
}

void Membership::Start() {
  hand_over_.Watch(kLookForHandOver);
  if (Open()) return Begin();
  // Another process of this node has it: that one is asked to yield.
  Log(Level::kInfo, "membership-waits", {{"addr", settings_.listen}});
  Tell("wants");
  WaitForAddress();
}

void Membership::WaitForAddress() {
  const Time gap = phase_ == Phase::kYielded ? kTakeUpAgainAfter : kTryAddressEvery;
  wait_ = run_->deadlines->Set(Now() + gap, [this] {
    wait_ = {};
    if (phase_ == Phase::kClosed || leaving_) return;
    bool open = false;
    try {
      open = Open();
    } catch (const std::runtime_error& e) {
      Log(Level::kError, "membership-address", {{"why", e.what()}});
    }
    open ? Begin() : WaitForAddress();
  });
}

void Membership::Begin() {
  phase_ = Phase::kActive;
  Options o;
  o.cluster = settings_.cluster;
  o.period = settings_.probe_interval;
  o.suspicion = settings_.suspicion_multiplier;
  o.exchange =
      static_cast<double>(settings_.push_pull_interval) / static_cast<double>(settings_.probe_interval);
  o.forget = settings_.forget_dead_after;
  o.most_members = settings_.max_members;
  o.datagram = kMostDatagram;
  o.speak = settings_.protocol_version;
  o.seeds = settings_.seeds;
  Record self;
  self.name = node_;
  self.address = address_;
  self.zone = settings_.zone;
  self.uid = uid_;
  self.incarnation = std::max(static_cast<std::uint64_t>(Now() / 1000), above_ + 1);
  model_ = std::make_unique<Model>(std::move(o), std::move(self), Now(), [this] { return random_(); });
  Tell("holds");
  Tick();
}

// What the processes of one node say to each other; text from a file, so it may be anything.
void Membership::Told(const std::string& text) {
  const nlohmann::json j = nlohmann::json::parse(text, nullptr, false);
  if (!j.is_object() || !j.contains("kind") || !j["kind"].is_string() || !j.contains("uid") ||
      !j["uid"].is_number_unsigned() || !j.contains("incarnation") || !j["incarnation"].is_number_unsigned())
    return;
  const std::uint64_t uid = j["uid"], incarnation = j["incarnation"];
  if (uid == uid_ || incarnation > (std::uint64_t{1} << 62)) return;
  if (j["kind"] == "yields") above_ = std::max(above_, incarnation);
  if (j["kind"] != "wants" || phase_ != Phase::kActive || uid < uid_) return;
  Log(Level::kInfo, "membership-yields", {{"uid", uid}});
  phase_ = Phase::kYielded;
  run_->deadlines->Cancel(tick_);
  Shut();
  Tell("yields");
  WaitForAddress();  // in case the other does not live to take it
}

void Membership::Tell(const char* kind) {
  hand_over_.Write(nlohmann::json{
      {"kind", kind}, {"uid", uid_}, {"incarnation", model_ == nullptr ? 0 : model_->self().incarnation}}
                       .dump());
}

void Membership::Leave() {
  leaving_ = true;
  if (phase_ != Phase::kActive) return;
  actions_.Clear();
  model_->Leave(Now(), actions_);
  Log(Level::kInfo, "membership-leaves");
  Act();
}

void Membership::Close() {
  if (phase_ == Phase::kActive && leaving_) {
    actions_.Clear();
    model_->Left(Now(), actions_);
    Act();
  }
  phase_ = Phase::kClosed;
  run_->deadlines->Cancel(tick_);
  run_->deadlines->Cancel(wait_);
  Shut();
  hand_over_.Close();
}

// ---- Time and what it brings ----

void Membership::Tick() {
  tick_ = run_->deadlines->Set(Now() + model_->step(), [this] { Tick(); });
  actions_.Clear();
  model_->Tick(Now(), actions_);
  for (int i = 0; i < kMostChats && words_ != nullptr && words_->has_pending(); ++i) {
    model_->Chat(Now(), actions_);
    Act();
  }
  Act();
  if (settings_.update_node_count && events_ != nullptr) {
    const TierFacts facts{model_->live(), model_->joined(), model_->in_doubt(), model_->settled(),
                          model_->settled_since()};
    if (const auto nodes = tier_.Look(Now(), facts)) {
      Log(Level::kInfo, "tier-size", {{"nodes", *nodes}});
      events_->Post(policy::NodeCountChanged{static_cast<int>(*nodes)});
    }
  }
  if (!dropped_untold_.empty() && Now() - dropped_told_ >= kTellDroppedEvery) {
    dropped_told_ = Now();
    for (const auto& [why, n] : dropped_untold_)
      Log(Level::kWarn, "member-messages-dropped", {{"why", why}, {"n", n}});
    dropped_untold_.clear();
  }
}

void Membership::Act() {
  Actions actions;
  std::swap(actions, actions_);
  for (const Note& note : actions.notes) Say(note);
  for (Send& send : actions.sends) SendTo(send.to, std::move(send.message));
  for (const std::string& to : actions.exchanges) Dial(to);
}

void Membership::Say(const Note& note) {
  const std::string_view what = note.what;
  const bool grave = what == "member-dead" || what == "view-in-doubt" || what == "name-taken" ||
                     what == "name-conflict" || what == "self-paused";
  if (note.span > 0) {
    Log(Level::kWarn, what, {{"member", note.member}, {"ms", note.span / 1000}});
  } else {
    Log(grave ? Level::kWarn : Level::kInfo, what,
        {{"member", note.member}, {"by", note.by}, {"n", note.incarnation}});
  }
  if (tap_ != nullptr)
    tap_->OnClusterEvent(Now(), what, note.member, note.by, note.incarnation, model_->live());
}

// ---- Datagrams ----

void Membership::Drop(const char* why) {
  ++traffic_.dropped[why];
  ++dropped_untold_[why];
}

void Membership::Datagram(std::string_view bytes, const sockaddr* from) {
  ++traffic_.datagrams_in;
  traffic_.bytes_in += bytes.size();
  const Time second = Now() / 1'000'000;
  if (second != second_) {
    second_ = second;
    in_second_ = 0;
  }
  if (++in_second_ > kMostASecond) return Drop("too-many");
  sockaddr_storage peer{};
  std::copy_n(reinterpret_cast<const char*>(from), LengthOf(from), reinterpret_cast<char*>(&peer));
  if (!networks_.Contains(peer)) return Drop("networks");
  const char* why = "";
  const std::optional<Message> message = Decode(bytes, &why);
  if (!message) return Drop(why);
  why = model_->Misfit(*message);
  if (*why != '\0') return Drop(why);
  const std::string address = Words(from);
  if (address != message->from.address) return Drop("source");
  actions_.Clear();
  model_->Receive(Now(), address, *message, actions_);
  Act();
  // Only of those that this node has reached there and back.
  if (words_ == nullptr || message->words.empty()) return;
  const Standing standing = model_->StandingOf(message->from.name);
  if (standing == Standing::kAlive || standing == Standing::kSuspect || standing == Standing::kLeaving)
    words_->OnMessages(message->words);
}

void Membership::SendTo(const std::string& to, Message message) {
  sockaddr_storage address{};
  if (udp_ == nullptr || !ParseAddress(to, &address) || !networks_.Contains(address))
    return Drop("no-address");
  std::string bytes = Encode(message);
  constexpr std::size_t kLength = 4;  // of a longer list
  if (words_ != nullptr && words_->has_pending() && bytes.size() + kLength < kMostDatagram) {
    message.words = words_->TakeMessages(kMostDatagram - kLength - bytes.size(), kWordOverhead);
    if (!message.words.empty()) bytes = Encode(message);
  }
  const uv_buf_t buf = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
  if (uv_udp_try_send(udp_, &buf, 1, reinterpret_cast<const sockaddr*>(&address)) < 0) {
    ++traffic_.unsent;  // as good as lost, which the protocol bears
    return;
  }
  ++traffic_.datagrams_out;
  traffic_.bytes_out += bytes.size();
}

// ---- Exchanges ----

void Membership::Dial(const std::string& to) {
  sockaddr_storage address{};
  if (calls_out_ >= kMostOut || udp_ == nullptr || !ParseAddress(to, &address) ||
      !networks_.Contains(address))
    return;
  const Handle handle = calls_.Add({});
  Call* call = calls_.Get(handle);
  call->dialled = true;
  call->tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  ++calls_out_;
  // From the address that peers know it by; the port is the kernel's.
  sockaddr_storage from = local_;
  if (from.ss_family == AF_INET6) {
    reinterpret_cast<sockaddr_in6*>(&from)->sin6_port = 0;
  } else {
    reinterpret_cast<sockaddr_in*>(&from)->sin_port = 0;
  }
  call->deadline = run_->deadlines->Set(Now() + std::max<Time>(2'000'000, 3 * settings_.probe_interval),
                                        [this, handle] { End(handle, false); });
  if (call->tcp->Bind(from) != 0 || call->tcp->Connect(address) != 0) End(handle, false);
}

void Membership::OnConnected(Handle handle, int status) {
  Call* call = calls_.Get(handle);
  if (call == nullptr) return;
  if (status != 0) return End(handle, false);
  call->tcp->Read();
  if (!call->tcp->Write(Framed(Encode(model_->StateMessage())))) End(handle, false);
}

void Membership::AcceptOne() {
  const Handle handle = calls_.Add({});
  Call* call = calls_.Get(handle);
  call->tcp = Tcp::New(run_->loop, run_->buffers, this, handle);
  ++calls_in_;
  if (!call->tcp->Accept(reinterpret_cast<uv_stream_t*>(listener_)) || calls_in_ > kMostIn)
    return End(handle, false);
  if (!networks_.Contains(call->tcp->Peer())) {
    Drop("networks");
    return End(handle, false);
  }
  call->deadline = run_->deadlines->Set(Now() + std::max<Time>(2'000'000, 3 * settings_.probe_interval),
                                        [this, handle] { End(handle, false); });
  call->tcp->Read();
}

void Membership::OnRead(Handle handle, std::string_view bytes) {
  Call* call = calls_.Get(handle);
  if (call == nullptr || call->answered) return;
  if (call->text.size() + bytes.size() > kMostState + 4) {
    Drop("too-long");
    return End(handle, false);
  }
  call->text.append(bytes);
  if (call->text.size() < 4) return;
  std::size_t length = 0;
  for (std::size_t i = 0; i < 4; ++i)
    length |= static_cast<std::size_t>(static_cast<unsigned char>(call->text[i])) << (8 * i);
  if (length > kMostState) {
    Drop("too-long");
    return End(handle, false);
  }
  if (call->text.size() < 4 + length) return;
  const char* why = "";
  std::optional<Message> message = Decode(std::string_view(call->text).substr(4, length), &why);
  if (message && message->kind != Kind::kState) {
    why = "malformed";
    message.reset();
  }
  if (message && *(why = model_->Misfit(*message)) != '\0') message.reset();
  if (!message) {
    Drop(why);
    return End(handle, false);
  }
  const bool dialled = call->dialled;
  actions_.Clear();
  model_->OnState(Now(), *message, dialled, actions_);
  Act();
  call = calls_.Get(handle);
  if (call == nullptr) return;
  ++traffic_.exchanges;
  if (dialled) return End(handle, true);
  call->answered = true;
  const std::string answer = Framed(Encode(model_->StateMessage()));
  if (!call->tcp->Write(answer)) return End(handle, false);
  if (call->tcp->unsent() == 0) OnDrained(handle);
}

void Membership::OnDrained(Handle handle) {
  Call* call = calls_.Get(handle);
  // The other side closes once it has read all; the deadline guards against one that does not.
  if (call != nullptr && call->answered) call->tcp->EndWriting();
}

void Membership::OnEnded(Handle handle) {
  const Call* call = calls_.Get(handle);
  if (call != nullptr) End(handle, call->answered);
}

void Membership::End(Handle handle, bool good) {
  Call* call = calls_.Get(handle);
  if (call == nullptr) return;
  if (!good) ++traffic_.exchanges_failed;
  --(call->dialled ? calls_out_ : calls_in_);
  run_->deadlines->Cancel(call->deadline);
  call->tcp->Close();
  calls_.Remove(handle);
}

// ---- The view ----

ClusterView Membership::View() const {
  ClusterView view;
  view.announced_nodes = tier_.told();
  if (model_ == nullptr) return view;
  view.version = model_->view_version();
  view.joined = model_->joined();
  view.stable = model_->settled() && phase_ == Phase::kActive;
  view.partition_suspected = model_->in_doubt() || phase_ != Phase::kActive;
  view.members.push_back({node_, settings_.zone, false});
  for (const ViewMember& m : model_->View(Now())) {
    if (m.standing == Standing::kAlive || m.standing == Standing::kSuspect ||
        m.standing == Standing::kLeaving)
      view.members.push_back({m.record.name, m.record.zone, m.standing == Standing::kSuspect});
  }
  return view;
}

}  // namespace ryeglade::membership
