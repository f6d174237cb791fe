#include "lab/cluster/relay.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <limits>
#include <stdexcept>

#include "membership/message_codec.h"

namespace ryeglade::cluster {
namespace {

constexpr Time kCutRetryInterval = 50'000;  // microseconds until a cut link is checked again

std::string FormatAddress(const sockaddr_storage& address) {
  char host[64] = {};
  const auto& in4 = reinterpret_cast<const sockaddr_in&>(address);
  uv_ip4_name(&in4, host, sizeof host);
  return std::string(host) + ":" + std::to_string(ntohs(in4.sin_port));
}

sockaddr_storage ParseOrThrow(const std::string& address) {
  sockaddr_storage out{};
  if (!ParseAddress(address, &out))
    throw std::runtime_error("cluster: an address must be ip:port, not '" + address + "'");
  return out;
}

void ThrowOnError(int error, const std::string& what) {
  if (error != 0) throw std::runtime_error(what + ": " + uv_strerror(error));
}

}  // namespace

std::string FreeAddress(const std::string& ip) {
  sockaddr_storage address = ParseOrThrow(ip + ":0");
  const int fd = socket(AF_INET, SOCK_STREAM, 0);
  socklen_t length = sizeof(sockaddr_in);
  const bool good = fd >= 0 && bind(fd, reinterpret_cast<sockaddr*>(&address), length) == 0 &&
                    getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length) == 0;
  if (fd >= 0) close(fd);
  if (!good) throw std::runtime_error("cannot find a free TCP port on " + ip);
  return FormatAddress(address);
}

Network::Network(const Runtime* run, std::uint64_t seed, std::vector<std::string> node_addresses,
                 const std::vector<std::string>& proxy_ips, LinkStateOf link_state)
    : run_(run),
      node_addresses_(std::move(node_addresses)),
      link_state_(std::move(link_state)),
      sent_(node_addresses_.size()),
      noise_random_(seed, emulator::RandomPurpose::kFailures) {
  for (std::size_t i = 0; i < 65'536; ++i) noise_bytes_ += static_cast<char>(noise_random_.Below(256));
  const std::size_t n = node_addresses_.size();
  for (std::size_t i = 0; i < n * n; ++i) links_.emplace_back(seed, i);
  for (const std::string& address : node_addresses_) addresses_.push_back(ParseOrThrow(address));
  for (std::size_t i = 0; i < n; ++i) {
    proxies_.push_back(std::make_unique<Proxy>());
    Proxy& p = *proxies_.back();
    p.network = this;
    p.node = i;
    p.ip = ParseOrThrow(proxy_ips[i] + ":0");
    p.udp = new uv_udp_t;
    p.listener = new uv_tcp_t;
    uv_udp_init(run_->loop, p.udp);
    uv_tcp_init(run_->loop, p.listener);
    p.udp->data = p.listener->data = &p;
    ThrowOnError(uv_udp_bind(p.udp, reinterpret_cast<const sockaddr*>(&p.ip), 0),
                 "cannot bind the UDP socket of a proxy on " + proxy_ips[i]);
    sockaddr_storage bound{};
    int length = sizeof bound;
    uv_udp_getsockname(p.udp, reinterpret_cast<sockaddr*>(&bound), &length);
    p.address = FormatAddress(bound);
    ThrowOnError(uv_tcp_bind(p.listener, reinterpret_cast<const sockaddr*>(&bound), 0),
                 "cannot bind the TCP listener of a proxy on " + p.address);
    ThrowOnError(uv_listen(reinterpret_cast<uv_stream_t*>(p.listener), 64,
                           [](uv_stream_t* s, int status) {
                             Proxy* proxy = static_cast<Proxy*>(s->data);
                             if (status == 0) proxy->network->Accept(*proxy);
                           }),
                 "cannot listen for connections to a proxy on " + p.address);
    uv_udp_recv_start(
        p.udp,
        [](uv_handle_t*, std::size_t, uv_buf_t* buf) {
          static std::array<char, 4096> room;
          *buf = uv_buf_init(room.data(), static_cast<unsigned>(room.size()));
        },
        [](uv_udp_t* u, ssize_t size, const uv_buf_t* buf, const sockaddr* from, unsigned) {
          Proxy* proxy = static_cast<Proxy*>(u->data);
          if (size > 0 && from != nullptr)
            proxy->network->ForwardDatagram(*proxy, {buf->base, static_cast<std::size_t>(size)}, from);
        });
  }
  noise_socket_ = new uv_udp_t;
  uv_udp_init(run_->loop, noise_socket_);
}

Network::~Network() { Close(); }

void Network::Close() {
  if (std::exchange(closed_, true)) return;
  for (const Handle side : sides_.All()) Drop(side);
  for (const auto& p : proxies_) {
    uv_close(reinterpret_cast<uv_handle_t*>(p->udp),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
    uv_close(reinterpret_cast<uv_handle_t*>(p->listener),
             [](uv_handle_t* h) { delete reinterpret_cast<uv_tcp_t*>(h); });
  }
  uv_close(reinterpret_cast<uv_handle_t*>(noise_socket_),
           [](uv_handle_t* h) { delete reinterpret_cast<uv_udp_t*>(h); });
}

std::size_t Network::NodeAt(const sockaddr* address) const {
  const auto ip = reinterpret_cast<const sockaddr_in*>(address)->sin_addr.s_addr;
  for (std::size_t i = 0; i < addresses_.size(); ++i) {
    if (reinterpret_cast<const sockaddr_in&>(addresses_[i]).sin_addr.s_addr == ip) return i;
  }
  return SIZE_MAX;
}

void Network::ForwardDatagram(Proxy& proxy, std::string_view bytes, const sockaddr* from_address) {
  const std::size_t from = NodeAt(from_address), to = proxy.node;
  if (from == SIZE_MAX) return;
  sent_[from].bytes += bytes.size();
  const std::vector<Delivery> all =
      LinkBetween(from, to).Datagram(Now(), bytes.size(), link_state_(from, to));
  if (all.empty()) ++sent_[from].lost;
  for (const Delivery& d : all) {
    ++sent_[from].passed;
    std::string copy(bytes);
    if (d.corrupt) LinkBetween(from, to).Corrupt(copy);
    if (d.at <= Now()) {
      Deliver(from, to, copy);
    } else {
      run_->deadlines->Set(d.at, [this, from, to, copy] { Deliver(from, to, copy); });
    }
  }
}

void Network::Deliver(std::size_t from, std::size_t to, const std::string& bytes) {
  if (closed_) return;
  const uv_buf_t buf = uv_buf_init(const_cast<char*>(bytes.data()), static_cast<unsigned>(bytes.size()));
  uv_udp_try_send(proxies_[from]->udp, &buf, 1, reinterpret_cast<const sockaddr*>(&addresses_[to]));
}

void Network::SendNoise(std::size_t node, std::size_t datagrams) {
  for (std::size_t i = 0; i < datagrams; ++i) {
    // Each random datagram is a part of bytes that were drawn once: in builds with sanitizers, drawing each
    // byte anew delayed the relay.
    const std::size_t n = noise_random_.Below(1600);
    std::string bytes = noise_bytes_.substr(noise_random_.Below(noise_bytes_.size() - n), n);
    if (noise_random_.Chance(0.5)) {  // a valid message with invented members
      membership::Message m;
      m.cluster = "lab";
      m.sender.name = "noise";
      m.sender.address = "127.0.0.1:1";
      for (int k = 0; k < 8; ++k) {
        membership::Update update;
        update.record.name = "made-up-" + std::to_string(noise_random_.Below(100'000));
        update.record.address = "127.0.0.1:" + std::to_string(1 + noise_random_.Below(60'000));
        update.record.incarnation = noise_random_.Below(1ULL << 60);
        m.updates.push_back(update);
      }
      bytes = membership::Encode(m);
      if (noise_random_.Chance(0.5)) bytes[noise_random_.Below(bytes.size())] ^= 0x20;
    }
    const uv_buf_t buf = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    uv_udp_try_send(noise_socket_, &buf, 1, reinterpret_cast<const sockaddr*>(&addresses_[node]));
  }
}

// ---- Connections ----

void Network::Accept(Proxy& proxy) {
  const Handle in = sides_.Add({});
  Side* incoming = sides_.Get(in);
  incoming->tcp = Tcp::New(run_->loop, run_->buffers, this, in);
  if (!incoming->tcp->Accept(reinterpret_cast<uv_stream_t*>(proxy.listener))) return Drop(in);
  const sockaddr_storage peer = incoming->tcp->PeerAddress();
  const std::size_t from = NodeAt(reinterpret_cast<const sockaddr*>(&peer)), to = proxy.node;
  if (from == SIZE_MAX) return Drop(in);
  ++sent_[from].connections;
  incoming->from = from;
  incoming->to = to;
  incoming->connected = true;
  const Handle out = sides_.Add({});
  incoming = sides_.Get(in);
  Side* outgoing = sides_.Get(out);
  outgoing->tcp = Tcp::New(run_->loop, run_->buffers, this, out);
  outgoing->from = to;
  outgoing->to = from;
  incoming->other = out;
  outgoing->other = in;
  if (outgoing->tcp->Bind(proxies_[from]->ip) != 0 || outgoing->tcp->Connect(addresses_[to]) != 0)
    return Drop(in);
  incoming->tcp->StartReading();
}

void Network::OnConnected(Handle side, int status) {
  Side* outgoing = sides_.Get(side);
  if (outgoing == nullptr) return;
  if (status != 0) return Drop(side);
  outgoing->connected = true;
  outgoing->tcp->StartReading();
  Forward(outgoing->other);
}

void Network::OnRead(Handle side, std::string_view bytes) {
  Side* source = sides_.Get(side);
  if (source == nullptr) return;
  source->queued.emplace_back(bytes);
  Forward(side);
}

// Schedules the next queued bytes for their arrival at the other end; the bytes behind them wait.
void Network::Forward(Handle side) {
  Side* source = sides_.Get(side);
  if (source == nullptr || source->forward_scheduled) return;
  const Side* target = sides_.Get(source->other);
  if (target == nullptr || !target->connected) return;
  if (source->queued.empty()) {
    if (source->ended) Drop(side);
    return;
  }
  const LinkState state = link_state_(source->from, source->to);
  const Time at =
      LinkBetween(source->from, source->to).StreamBytes(Now(), source->queued.front().size(), state);
  const bool cut = at == std::numeric_limits<Time>::max();
  source->forward_scheduled = true;
  run_->deadlines->Set(cut ? Now() + kCutRetryInterval : at, [this, side, cut] {
    Side* source_now = sides_.Get(side);
    if (source_now == nullptr) return;
    source_now->forward_scheduled = false;
    const Side* other_side = sides_.Get(source_now->other);
    if (!cut && other_side != nullptr) {
      if (!other_side->tcp->Write(source_now->queued.front())) return Drop(side);
      source_now->queued.pop_front();
    }
    Forward(side);
  });
}

void Network::OnDisconnected(Handle side) {
  Side* closed_side = sides_.Get(side);
  if (closed_side == nullptr) return;
  closed_side->ended = true;
  if (closed_side->queued.empty()) Drop(side);
}

// Closes both ends of the connection.
void Network::Drop(Handle side) {
  for (Handle h = side; h != 0;) {
    Side* s = sides_.Get(h);
    if (s == nullptr) break;
    const Handle other = s->other;
    s->tcp->Close();
    sides_.Remove(h);
    h = h == side ? other : 0;
  }
}

}  // namespace ryeglade::cluster
