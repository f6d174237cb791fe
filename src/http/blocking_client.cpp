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

constexpr std::size_t kMostBody = std::size_t{16} << 20;

struct Parsed {
  HttpResponse answer;
  bool whole = false;
};

struct Socket {
  int fd;
  ~Socket() { close(fd); }
};

}  // namespace

HttpResponse BlockingHttpCall(const std::string& who, const std::string& at, const std::string& method,
                              const std::string& path, const std::string& body, int patience_ms,
                              const std::string& from) {
  sockaddr_storage to{};
  if (!ParseAddress(at, &to)) throw std::runtime_error(who + " " + at + " is not an ip:port");
  const auto gone = [&](const char* step, int error) {
    return std::runtime_error(who + " " + at + " gave no answer: " + step + ": " + std::strerror(error));
  };
  const auto began = std::chrono::steady_clock::now();
  const Socket s{socket(to.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0)};
  if (s.fd < 0) throw gone("socket", errno);
  const timeval patience{patience_ms / 1000, patience_ms % 1000 * 1000L};
  setsockopt(s.fd, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  setsockopt(s.fd, SOL_SOCKET, SO_SNDTIMEO, &patience, sizeof patience);
  sockaddr_storage mine{};
  if (!from.empty()) {
    if (!ParseAddress(from + ":0", &mine)) throw std::runtime_error(from + " is not an address");
    const auto* own = reinterpret_cast<const sockaddr*>(&mine);
    if (bind(s.fd, own, LengthOf(own)) != 0) throw gone("bind", errno);
  }
  const auto* peer = reinterpret_cast<const sockaddr*>(&to);
  if (connect(s.fd, peer, LengthOf(peer)) != 0) throw gone("connect", errno);
  const std::string request =
      method + " " + path + " HTTP/1.1\r\nHost: " + at + "\r\nConnection: close\r\n" +
      (method == "GET" ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n") + "\r\n" + body;
  for (std::size_t sent = 0; sent < request.size();) {
    const ssize_t n = send(s.fd, request.data() + sent, request.size() - sent, MSG_NOSIGNAL);
    if (n <= 0) throw gone("send", errno);
    sent += static_cast<std::size_t>(n);
  }
  Parsed parsed;
  http_parser parser{};
  http_parser_init(&parser, HTTP_RESPONSE);
  parser.data = &parsed;
  http_parser_settings callbacks;
  http_parser_settings_init(&callbacks);
  callbacks.on_body = [](http_parser* p, const char* piece, std::size_t n) {
    std::string& text = static_cast<Parsed*>(p->data)->answer.body;
    text.append(piece, n);
    return text.size() > kMostBody ? 1 : 0;
  };
  callbacks.on_message_complete = [](http_parser* p) {
    static_cast<Parsed*>(p->data)->whole = true;
    return 0;
  };
  char piece[16384];
  while (!parsed.whole) {
    const ssize_t n = recv(s.fd, piece, sizeof piece, 0);
    if (n < 0) throw gone("read", errno);
    http_parser_execute(&parser, &callbacks, piece, static_cast<std::size_t>(n));
    if (n == 0 || HTTP_PARSER_ERRNO(&parser) != HPE_OK) break;
    if (std::chrono::steady_clock::now() - began > std::chrono::milliseconds(2 * patience_ms))
      throw gone("read", ETIMEDOUT);
  }
  if (!parsed.whole) throw std::runtime_error(who + " " + at + " is none of a node");
  parsed.answer.status = parser.status_code;
  return parsed.answer;
}

}  // namespace ryeglade
