#include "limits/networks.h"

#include <netinet/in.h>

#include <boost/asio/ip/address.hpp>
#include <boost/asio/ip/network_v4.hpp>
#include <boost/asio/ip/network_v6.hpp>
#include <cstring>

namespace ryeglade::limits {
namespace {

namespace ip = boost::asio::ip;

ip::address_v6 ToIPv6(const ip::address& address) {
  return address.is_v4() ? ip::make_address_v6(ip::v4_mapped, address.to_v4()) : address.to_v6();
}

// Returns the last address of the network that begins at `first`: all bits beyond the prefix are set.
ip::address_v6 LastAddress(const ip::address_v6& first, unsigned prefix_length) {
  ip::address_v6::bytes_type bytes = first.to_bytes();
  for (unsigned bit = prefix_length; bit < 128; ++bit) {
    bytes[bit / 8] = static_cast<unsigned char>(bytes[bit / 8] | (0x80U >> (bit % 8)));
  }
  return ip::address_v6(bytes);
}

}  // namespace

bool Networks::Add(const std::string& network) {
  boost::system::error_code error;
  const std::size_t slash = network.find('/');
  ip::address_v6 first;
  ip::address_v6 last;
  if (slash == std::string::npos) {
    first = ToIPv6(ip::make_address(network, error));
    last = first;
    if (error) return false;
  } else if (network.find(':') == std::string::npos) {
    const ip::network_v4 v4 = ip::make_network_v4(network, error);
    if (error || v4.address() != v4.network()) return false;
    first = ToIPv6(v4.network());
    last = LastAddress(first, 96U + v4.prefix_length());
  } else {
    const ip::network_v6 v6 = ip::make_network_v6(network, error);
    if (error || v6.address() != v6.network()) return false;
    first = v6.network();
    last = LastAddress(first, v6.prefix_length());
  }
  set_.add(Interval(first, last, boost::icl::interval_bounds::closed()));
  return true;
}

bool Networks::Contains(const sockaddr_storage& address) const {
  if (address.ss_family == AF_INET) {
    sockaddr_in v4{};
    std::memcpy(&v4, &address, sizeof v4);
    return boost::icl::contains(set_, ToIPv6(ip::address_v4(ntohl(v4.sin_addr.s_addr))));
  }
  if (address.ss_family == AF_INET6) {
    sockaddr_in6 v6{};
    std::memcpy(&v6, &address, sizeof v6);
    ip::address_v6::bytes_type bytes;
    std::memcpy(bytes.data(), &v6.sin6_addr, bytes.size());
    return boost::icl::contains(set_, ip::address_v6(bytes));
  }
  return false;
}

bool Networks::Contains(const std::string& address) const {
  boost::system::error_code error;
  const ip::address parsed = ip::make_address(address, error);
  return !error && boost::icl::contains(set_, ToIPv6(parsed));
}

}  // namespace ryeglade::limits
