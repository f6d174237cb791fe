// The network between real nodes on loopback: each node has a face, an address that the others know it by,
// and what comes to a face passes on to the node over a link of its own for each pair and direction, which
// does wrong what the scenario says. Who sends is seen by address. Datagrams and connections alike.
#pragma once

#include <uv.h>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "base/runtime.h"
#include "base/slot_table.h"
#include "base/tcp.h"
#include "lab/cluster/link_model.h"

namespace ryeglade::cluster {

// An address on which nobody listens now, its port the kernel's choice. Throws std::runtime_error.
std::string FreeAddress(const std::string& ip);

class Network : public TcpOwner {
 public:
  using LinkStateOf = std::function<LinkState(std::size_t from, std::size_t to)>;  // now

  // `real`: where each node listens; `faces`: ip of each face. Throws std::runtime_error.
  Network(const Runtime* run, std::uint64_t seed, std::vector<std::string> node_addresses,
          const std::vector<std::string>& proxy_ips, LinkStateOf link_state);
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;
  const std::string& proxy_address(std::size_t node) const { return proxies_[node]->address; }
  // Noise to a node's own port, as from a stranger.
  void SendNoise(std::size_t node, std::size_t datagrams);
  void Close();

  struct Counts {
    std::uint64_t passed = 0, lost = 0, bytes = 0;  // datagrams
    std::uint64_t connections = 0;
  };
  const std::vector<Counts>& sent() const { return sent_; }  // by the node that sent

  void OnConnected(Handle side, int status) override;
  void OnRead(Handle side, std::string_view bytes) override;
  void OnDisconnected(Handle side) override;

 private:
  struct Proxy {
    Network* network = nullptr;
    std::size_t node = 0;
    std::string address;
    sockaddr_storage ip{};
    uv_udp_t* udp = nullptr;
    uv_tcp_t* listener = nullptr;
  };
  struct Side {  // of a connection that passes through: what it reads goes to its other
    Tcp* tcp = nullptr;
    Handle other = 0;
    std::size_t from = 0, to = 0;
    std::deque<std::string> queued;  // read here, and not yet written there
    bool connected = false, ended = false, forward_scheduled = false;
  };

  std::size_t NodeAt(const sockaddr* address) const;  // by ip; SIZE_MAX: none
  void ForwardDatagram(Proxy& proxy, std::string_view bytes, const sockaddr* from);
  void Deliver(std::size_t from, std::size_t to, const std::string& bytes);
  void Accept(Proxy& proxy);
  void Forward(Handle side);
  void Drop(Handle side);
  Link& LinkBetween(std::size_t from, std::size_t to) { return links_[from * node_addresses_.size() + to]; }

  const Runtime* run_;
  std::vector<std::string> node_addresses_;
  std::vector<sockaddr_storage> addresses_;
  LinkStateOf link_state_;
  std::vector<std::unique_ptr<Proxy>> proxies_;
  std::vector<Link> links_;
  SlotTable<Side> sides_;
  std::vector<Counts> sent_;
  emulator::RandomStream noise_random_;
  std::string noise_bytes_;  // bytes, of which noise is made
  uv_udp_t* noise_socket_ = nullptr;
  bool closed_ = false;
};

}  // namespace ryeglade::cluster
