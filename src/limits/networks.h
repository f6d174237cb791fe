// Sets of IP networks, IPv4 and IPv6 in one, on Boost.Asio's addresses and Boost.ICL's interval sets. A
// look-up takes the logarithm of the number of networks. No I/O.
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
  // "10.1.0.0/16", "2001:db8::/32", "192.0.2.7" or "::1". False: it is none of these, or bits beyond the
  // prefix length are set.
  bool Add(const std::string& network);
  // Of a socket's peer; an IPv4 address inside IPv6 counts as IPv4.
  bool Contains(const sockaddr_storage& address) const;
  bool Contains(const std::string& address) const;
  bool empty() const { return set_.empty(); }
  std::size_t ranges() const { return set_.iterative_size(); }  // after adjacent ones were merged

 private:
  using Address = boost::asio::ip::address_v6;  // IPv4 as ::ffff:a.b.c.d
  using Interval = boost::icl::continuous_interval<Address>;
  boost::icl::interval_set<Address, std::less, Interval> set_;
};

}  // namespace ryeglade::limits
