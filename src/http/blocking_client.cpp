#include "http/blocking_client.h"

#include <http_parser.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstring>
#include <stdexcept>

#include "base/tcp.h"

namespace ryeglade {
namespace {

constexpr std::size_t kMaxResponseBody = std::size_t{16} << 20;  // bytes

// What has been parsed of the response.
struct Parsed {
  HttpResponse response;
  bool complete = false;
};

// Closes its descriptor when it is destroyed.
struct Socket {
  int fd;
  ~Socket() { close(fd); }
};

}  // namespace

HttpResponse BlockingHttpCall(const std::string& server, const std::string& address,
                              const std::string& method, const std::string& path, const std::string& body,
                              int timeout_ms, const std::string& source_ip) {
  sockaddr_storage to{};
  if (!ParseAddress(address, &to)) throw std::runtime_error(server + " " + address + " is not an ip:port");
  const auto error_at = [&](const char* step, int error) {
    return std::runtime_error(server + " " + address + ": the request failed in " + step + ": " +
                              std::strerror(error));
  };
  const auto started_at = std::chrono::steady_clock::now();
  const Socket s{socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (s.fd < 0) throw error_at("socket", errno);
  const timeval timeout{timeout_ms / 1000, timeout_ms % 1000 * 1000L};
  setsockopt(s.fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
  setsockopt(s.fd, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
  sockaddr_storage source{};
  if (!source_ip.empty()) {
    if (!ParseAddress(source_ip + ":0", &source))
      throw std::runtime_error("source address " + source_ip + " is not an IP address (IPv6 in brackets)");
    const auto* own = reinterpret_cast<const sockaddr*>(&source);
    if (bind(s.fd, own, SockaddrLength(own)) != 0) throw error_at("bind", errno);
  }
  const auto* peer = reinterpret_cast<const sockaddr*>(&to);
  if (connect(s.fd, peer, SockaddrLength(peer)) != 0) throw error_at("connect", errno);
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n" +
      (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  for (std::size_t sent = 0; sent < request.size();) {
    const ssize_t n = send(s.fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) throw error_at("send", errno);
    sent += static_cast<std::size_t>(n);
  }
  Parsed parsed;
  http_parser parser{};
  http_parser_init(&parser, HTTP_RESPONSE);
  parser.data = &parsed;
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_body = [](http_parser* p, const char* bytes, std::size_t n) {
    std::string& text = static_cast<Parsed*>(p->data)->response.body;
    text.append(bytes, n);
    return text.size() > kMaxResponseBody ? 1 : 0;
  };
  callbacks.on_message_complete = [](http_parser* p) {
    static_cast<Parsed*>(p->data)->complete = true;
    return 0;
  };
  char bytes[16384];
  while (!parsed.complete) {
    const ssize_t n = recv(s.fd, bytes, sizeof bytes, 0);
    if (n < 0) throw error_at("read", errno);
    http_parser_execute(&parser, &callbacks, bytes, static_cast<std::size_t>(n));
    if (n == 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK) break;
    if (std::chrono::steady_clock::now() - started_at > std::chrono::milliseconds(2 * timeout_ms))
      throw error_at("read", ETIMEDOUT);
  }
  if (!parsed.complete)
    throw std::runtime_error(server + " " + address +
                             " did not send a complete and valid HTTP response of at most 16 MiB");
  parsed.response.status = parser.status_code;
  return parsed.response;
}

}  // namespace ryeglade
