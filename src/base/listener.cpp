#include "base/listener.h"

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <cstdint>
#include <cstring>
#include <stdexcept>
#include <utility>

#include "base/tcp.h"

namespace ryeglade {
namespace {

constexpr int kBacklog = 1024;  // connections that may wait in the kernel to be accepted

// Owns a descriptor and closes it unless it was released.
class Descriptor {
 public:
  explicit Descriptor(int fd) : fd_(fd) {}
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;
  ~Descriptor() {
    if (fd_ >= 0) close(fd_);
  }
  int get() const { return fd_; }
  int Release() { return std::exchange(fd_, -1); }

 private:
  int fd_;
};

int PortOf(int fd) {
  sockaddr_storage bound{};
  socklen_t length = sizeof bound;
  getsockname(fd, reinterpret_cast<sockaddr*>(&bound), &length);
  return ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);  // at the same offset in sockaddr_in6
}

[[noreturn]] void Fail(const std::string& address, const char* reason) {
  throw std::runtime_error("cannot listen on " + address + ": " + reason);
}

// Returns a socket that is bound to `address` but does not listen yet; throws std::runtime_error.
int BindSocket(const std::string& address, bool share_port) {
  sockaddr_storage at{};
  if (!ParseAddress(address, &at)) Fail(address, "expected ip:port or [ip]:port");
  Descriptor bound(socket(at.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
  const int enabled = 1;
  const auto* to = reinterpret_cast<const sockaddr*>(&at);
  const bool is_bound =
      bound.get() >= 0 && setsockopt(bound.get(), SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled) == 0 &&
      (!share_port || setsockopt(bound.get(), SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled) == 0) &&
      bind(bound.get(), to, SockaddrLength(to)) == 0;
  if (!is_bound) Fail(address, uv_strerror(uv_translate_sys_error(errno)));
  return bound.Release();
}

}  // namespace

Listener::Listener(uv_loop_t* loop, std::function<void()> ready) : loop_(loop), ready_(std::move(ready)) {}

void Listener::Check(const std::string& address, bool share_port) {
  Descriptor(BindSocket(address, share_port));
}

std::string Listener::Listen(const std::string& address, bool share_port) {
  Descriptor socket_fd(BindSocket(address, share_port));
  if (listen(socket_fd.get(), kBacklog) != 0) Fail(address, uv_strerror(uv_translate_sys_error(errno)));
  auto* poll = new uv_poll_t;
  if (const int error = uv_poll_init(loop_, poll, socket_fd.get()); error != 0) {
    delete poll;
    Fail(address, uv_strerror(error));
  }
  poll->data = this;
  poll_ = poll;
  fd_ = socket_fd.Release();
  Resume();
  return address.substr(0, address.rfind(':') + 1) + std::to_string(PortOf(fd_));
}

int Listener::Accept(int* error) {
  const int fd = accept4(fd_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
  *error = fd < 0 ? errno : 0;
  return fd;
}

void Listener::Pause() {
  if (poll_ != nullptr) uv_poll_stop(poll_);
}

void Listener::Resume() {
  if (poll_ == nullptr) return;
  uv_poll_start(poll_, UV_READABLE,
                [](uv_poll_t* p, int, int) { static_cast<Listener*>(p->data)->ready_(); });
}

// Attaches a socket filter (socket(7), SO_ATTACH_FILTER) that drops TCP segments with the SYN flag. Without
// it, a connection that is established between the last accept and the close would be reset, although its
// client may have sent a request already. On a system without such filters, that short window remains.
void Listener::DropNewConnections() {
  if (poll_ == nullptr) return;
  constexpr std::uint32_t kFlagsOffset = 13;  // offset of the flags in the TCP header, bytes
  constexpr std::uint32_t kSyn = 0x02;
  constexpr std::uint32_t kKeepWholeSegment = 0xffffffff;  // maximum number of bytes
  std::array<sock_filter, 4> drop_syn = {
      {BPF_STMT(BPF_LD | BPF_B | BPF_ABS, kFlagsOffset), BPF_JUMP(BPF_JMP | BPF_JSET | BPF_K, kSyn, 1, 0),
       BPF_STMT(BPF_RET | BPF_K, kKeepWholeSegment), BPF_STMT(BPF_RET | BPF_K, 0)}};
  const sock_fprog program{static_cast<unsigned short>(drop_syn.size()), drop_syn.data()};
  setsockopt(fd_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof program);
}

void Listener::AllowNewConnections() {
  if (poll_ == nullptr) return;
  const int none = 0;
  setsockopt(fd_, SOL_SOCKET, SO_DETACH_FILTER, &none, sizeof none);
}

void Listener::Close() {
  if (poll_ == nullptr) return;
  uv_poll_stop(poll_);
  uv_close(reinterpret_cast<uv_handle_t*>(std::exchange(poll_, nullptr)),
           [](uv_handle_t* h) { delete reinterpret_cast<uv_poll_t*>(h); });
  close(std::exchange(fd_, -1));
}

}  // namespace ryeglade
