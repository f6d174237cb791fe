// A set of IP networks, IPv4 and IPv6 together, built on Boost.Asio's addresses and Boost.ICL's interval
// sets. A look-up takes time logarithmic in the number of networks. Performs no I/O.
#pragma once

#include <sys/socket.h>

#include <boost/asio/ip/address_v6.hpp>
#include <boost/icl/continuous_interval.hpp>
#include <boost/icl/interval_set.hpp>
#include <functional>
#include <string>

namespace ryeglade::limits {

class Networks {
 public:
  // Adds a network or an address, such as "10.1.0.0/16", "2001:db8::/32", "192.0.2.7" or "::1". Returns false
  // if the text is neither, or if bits beyond the prefix length are set.
  bool Add(const std::string& network);
  // Returns whether the address of a socket's peer is in one of the networks. An IPv4-mapped IPv6 address
  // counts as IPv4.
  bool Contains(const sockaddr_storage& address) const;
  // As above, for an address as text. Returns false if the text is not an address.
  bool Contains(const std::string& address) const;
  bool empty() const { return set_.empty(); }
  // Number of address ranges; adjacent networks form one range.
  std::size_t ranges() const { return set_.iterative_size(); }

 private:
  using Address = boost::asio::ip::address_v6;  // IPv4 is stored as ::ffff:a.b.c.d
  using Interval = boost::icl::continuous_interval<Address>;
  boost::icl::interval_set<Address, std::less, Interval> set_;
};

}  // namespace ryeglade::limits
