// The network between real nodes on loopback. Each node has a proxy whose address the other nodes use. The
// proxy forwards datagrams and connections to its node, over a separate link for each pair and direction with
// the faults of the scenario. It recognizes the sender by its IP address.
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

// Returns an address with a port that is free now, chosen by the kernel. Throws std::runtime_error.
std::string FreeAddress(const std::string& ip);

class Network : public TcpOwner {
 public:
  // Returns the current faults of the link from one node to another.
  using LinkStateOf = std::function<LinkState(std::size_t from, std::size_t to)>;

  // `node_addresses` holds the address at which each node listens, `proxy_ips` the IP address of its proxy.
  // Throws std::runtime_error.
  Network(const Runtime* run, std::uint64_t seed, std::vector<std::string> node_addresses,
          const std::vector<std::string>& proxy_ips, LinkStateOf link_state);
  ~Network() override;
  Network(const Network&) = delete;
  Network& operator=(const Network&) = delete;
  const std::string& proxy_address(std::size_t node) const { return proxies_[node]->address; }
  // Sends this many datagrams of random bytes or with invented members to a node's own port, from an address
  // that belongs to no member.
  void SendNoise(std::size_t node, std::size_t datagrams);
  void Close();  // closes all proxies and connections

  struct Counts {
    // Datagrams that were forwarded (duplicates included), datagrams that were dropped, and bytes of all
    // datagrams.
    std::uint64_t passed = 0, lost = 0, bytes = 0;
    std::uint64_t connections = 0;  // connections opened
  };
  const std::vector<Counts>& sent() const { return sent_; }  // by sending node

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
  struct Side {  // one end of a forwarded connection; its bytes go to `other`
    Tcp* tcp = nullptr;
    Handle other = 0;
    std::size_t from = 0, to = 0;
    std::deque<std::string> queued;  // read at this end and not yet written at the other
    bool connected = false, ended = false, forward_scheduled = false;
  };

  std::size_t NodeAt(const sockaddr* address) const;  // by IP address; returns SIZE_MAX for an unknown one
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
  std::string noise_bytes_;  // random bytes of which random datagrams are parts
  uv_udp_t* noise_socket_ = nullptr;
  bool closed_ = false;
};

}  // namespace ryeglade::cluster
