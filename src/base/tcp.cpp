#include "base/tcp.h"

#include <linux/sockios.h>
#include <poll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <charconv>
#include <vector>

namespace ryeglade {
namespace {

// libuv asks for a read buffer and hands it back filled within one call, so all sockets share one.
std::array<char, TcpOwner::kMaxReadSize>& ReadBuffer() {
  static std::array<char, TcpOwner::kMaxReadSize> buffer;
  return buffer;
}

}  // namespace

socklen_t SockaddrLength(const sockaddr* address) {
  return address->sa_family == AF_INET6 ? sizeof(sockaddr_in6) : sizeof(sockaddr_in);
}

bool ParseAddress(const std::string& text, sockaddr_storage* address) {
  const std::size_t colon = text.rfind(':');
  if (colon == std::string::npos) return false;
  unsigned port = 0;
  const char* end = text.data() + text.size();
  const auto [at, error] = std::from_chars(text.data() + colon + 1, end, port);
  if (error != std::errc() || at != end || port > 65535) return false;
  const std::string host = text.substr(0, colon);
  if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
    return uv_ip6_addr(host.substr(1, host.size() - 2).c_str(), static_cast<int>(port),
                       reinterpret_cast<sockaddr_in6*>(address)) == 0;
  }
  return uv_ip4_addr(host.c_str(), static_cast<int>(port), reinterpret_cast<sockaddr_in*>(address)) == 0;
}

Tcp* Tcp::New(uv_loop_t* loop, BufferPool* pool, TcpOwner* owner, Handle handle) {
  Tcp* tcp = new Tcp(pool, owner, handle);
  uv_tcp_init(loop, &tcp->tcp_);
  tcp->tcp_.data = tcp;
  return tcp;
}

bool Tcp::Accept(uv_stream_t* listener) {
  if (uv_accept(listener, stream()) != 0) return false;
  uv_tcp_nodelay(&tcp_, 1);
  return true;
}

bool Tcp::Open(int fd) {
  if (uv_tcp_open(&tcp_, fd) != 0) {
    close(fd);
    return false;
  }
  uv_tcp_nodelay(&tcp_, 1);
  return true;
}

int Tcp::Bind(const sockaddr_storage& from) {
  return uv_tcp_bind(&tcp_, reinterpret_cast<const sockaddr*>(&from), 0);
}

int Tcp::Connect(const sockaddr_storage& address) {
  connect_.data = this;
  return uv_tcp_connect(&connect_, &tcp_, reinterpret_cast<const sockaddr*>(&address),
                        [](uv_connect_t* c, int status) {
                          Tcp* tcp = static_cast<Tcp*>(c->data);
                          if (tcp->closing_) return;
                          uv_tcp_nodelay(&tcp->tcp_, 1);
                          tcp->owner_->OnConnected(tcp->handle_, status);
                        });
}

void Tcp::StartReading() {
  uv_read_start(
      stream(),
      [](uv_handle_t* h, std::size_t, uv_buf_t* buf) {
        const Tcp* tcp = static_cast<Tcp*>(h->data);
        const std::size_t size = tcp->closing_ ? ReadBuffer().size() : tcp->owner_->ReadSize(tcp->handle_);
        *buf = uv_buf_init(ReadBuffer().data(), static_cast<unsigned>(std::min(size, ReadBuffer().size())));
      },
      [](uv_stream_t* s, ssize_t n, const uv_buf_t* buf) {
        Tcp* tcp = static_cast<Tcp*>(s->data);
        if (tcp->closing_ || n == 0) return;
        if (n < 0) {
          tcp->owner_->OnDisconnected(tcp->handle_);
        } else {
          tcp->owner_->OnRead(tcp->handle_, {buf->base, static_cast<std::size_t>(n)});
        }
      });
}

bool Tcp::Write(std::initializer_list<std::string_view> parts) {
  if (closing_ || write_failed_) return false;
  write_failed_ = !WriteOrQueue(parts);
  return !write_failed_;
}

bool Tcp::WriteOrQueue(std::initializer_list<std::string_view> parts) {
  std::size_t written = 0;
  if (unsent() == 0) {
    std::vector<uv_buf_t> bufs;
    bufs.reserve(parts.size());
    for (const std::string_view part : parts) {
      bufs.push_back(uv_buf_init(const_cast<char*>(part.data()), static_cast<unsigned>(part.size())));
    }
    const int n = uv_try_write(stream(), bufs.data(), static_cast<unsigned>(bufs.size()));
    if (n < 0 && n != UV_EAGAIN) return false;
    if (n > 0) written = static_cast<std::size_t>(n);
  }
  for (std::string_view part : parts) {
    const std::size_t skip = std::min(written, part.size());
    written -= skip;
    part.remove_prefix(skip);
    if (!queued_.Append(part)) return false;
  }
  return sending_.size() > 0 || queued_.size() == 0 || Send();
}

bool Tcp::Send() {
  sending_ = std::move(queued_);
  std::vector<uv_buf_t> bufs;
  for (const std::string_view piece : sending_.Pieces()) {
    bufs.push_back(uv_buf_init(const_cast<char*>(piece.data()), static_cast<unsigned>(piece.size())));
  }
  write_.data = this;
  return uv_write(&write_, stream(), bufs.data(), static_cast<unsigned>(bufs.size()),
                  [](uv_write_t* w, int status) {
                    Tcp* tcp = static_cast<Tcp*>(w->data);
                    if (tcp->closing_) return;
                    if (status != 0) return tcp->owner_->OnDisconnected(tcp->handle_);
                    tcp->sending_.Clear();
                    if (tcp->queued_.size() > 0) {
                      if (!tcp->Send()) tcp->owner_->OnDisconnected(tcp->handle_);
                      return;
                    }
                    tcp->owner_->OnDrained(tcp->handle_);
                  }) == 0;
}

sockaddr_storage Tcp::PeerAddress() const {
  sockaddr_storage peer{};
  int length = sizeof peer;
  uv_tcp_getpeername(&tcp_, reinterpret_cast<sockaddr*>(&peer), &length);
  return peer;
}

sockaddr_storage Tcp::LocalAddress() const {
  sockaddr_storage local{};
  int length = sizeof local;
  uv_tcp_getsockname(&tcp_, reinterpret_cast<sockaddr*>(&local), &length);
  return local;
}

void Tcp::ResetOnClose() {
  uv_os_fd_t fd = -1;
  const linger now{1, 0};
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return;
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &now, sizeof now);
}

bool Tcp::Delivered() const {
  uv_os_fd_t fd = -1;
  int bytes = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return true;
  return unsent() == 0 && (ioctl(fd, SIOCOUTQ, &bytes) != 0 || bytes == 0);
}

bool Tcp::NothingToRead() const {
  uv_os_fd_t fd = -1;
  char byte = 0;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return false;
  return recv(fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

bool Tcp::HasUnread(std::size_t bytes) const {
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return false;
  // Not the buffer for reading: the caller may be in the middle of processing what another socket read.
  static std::array<char, TcpOwner::kMaxReadSize> peeked;
  const std::size_t size = std::min(bytes, peeked.size());
  const ssize_t unread = recv(fd, peeked.data(), size, MSG_PEEK | MSG_DONTWAIT);
  return unread >= 0 && static_cast<std::size_t>(unread) >= size;
}

bool Tcp::PeerClosed() const {
  uv_os_fd_t fd = -1;
  if (uv_fileno(reinterpret_cast<const uv_handle_t*>(&tcp_), &fd) != 0) return true;
  pollfd look{fd, POLLRDHUP, 0};
  return poll(&look, 1, 0) > 0 && (look.revents & (POLLRDHUP | POLLHUP | POLLERR)) != 0;
}

void Tcp::ShutdownWrite() {
  if (!closing_) uv_shutdown(&shutdown_, stream(), nullptr);
}

void Tcp::Close() {
  if (closing_) return;
  closing_ = true;
  uv_close(reinterpret_cast<uv_handle_t*>(&tcp_), [](uv_handle_t* h) { delete static_cast<Tcp*>(h->data); });
}

}  // namespace ryeglade
