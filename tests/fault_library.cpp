// Preloaded into a node under test: makes one system call fail for a while, as Linux documents that it may.
// RYEGLADE_TEST_FAULT is "CALL:ERRNO:MILLISECONDS[:PORT]": CALL is accept4 or connect, the time counts from
// the first call that fails, and with PORT only calls to that port fail. With CALL "end" nothing fails, but
// each end of an accepted connection (shutdown or close) is held up for that long, as a process may be. The
// file that RYEGLADE_TEST_FAULT_COUNT names holds, as text, how many calls have failed or been held up.
#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <string>
#include <thread>

namespace {

using Clock = std::chrono::steady_clock;

struct Fault {
  std::string call;
  int error = 0;
  std::chrono::milliseconds lasts{0};
  int port = 0;  // 0: any
};

const Fault& Planned() {
  static const Fault fault = [] {
    Fault f;
    char call[16] = "";
    int milliseconds = 0;
    const char* text = std::getenv("RYEGLADE_TEST_FAULT");
    if (text == nullptr ||
        std::sscanf(text, "%15[^:]:%d:%d:%d", call, &f.error, &milliseconds, &f.port) < 3) {
      return f;
    }
    f.call = call;
    f.lasts = std::chrono::milliseconds(milliseconds);
    return f;
  }();
  return fault;
}

void CountFailure() {
  static int failures = 0;
  ++failures;
  const char* path = std::getenv("RYEGLADE_TEST_FAULT_COUNT");
  if (path == nullptr) return;
  const int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return;
  const std::string text = std::to_string(failures);
  [[maybe_unused]] const ssize_t written = write(fd, text.data(), text.size());
  close(fd);
}

bool Fails(const char* call, int port) {
  const Fault& fault = Planned();
  if (fault.call != call || (fault.port != 0 && fault.port != port)) return false;
  static const Clock::time_point first = Clock::now();
  if (Clock::now() - first >= fault.lasts) return false;
  CountFailure();
  errno = fault.error;
  return true;
}

constexpr int kMostDescriptors = 4096;
bool accepted[kMostDescriptors];  // by descriptor; nodes under test have one thread that uses sockets

void HoldEnd(int fd) {
  if (fd < 0 || fd >= kMostDescriptors || !accepted[fd] || Planned().call != "end") return;
  CountFailure();
  std::this_thread::sleep_for(Planned().lasts);
}

template <class Function>
Function Real(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = Real<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (Fails("accept4", 0)) return -1;
  const int connection = real(fd, address, length, flags);
  if (connection >= 0 && connection < kMostDescriptors) accepted[connection] = true;
  return connection;
}

extern "C" int shutdown(int fd, int how) {
  static const auto real = Real<int (*)(int, int)>("shutdown");
  HoldEnd(fd);
  return real(fd, how);
}

// libuv takes a descriptor out of its poll set right before it closes it, by a call that no library can hold.
extern "C" int epoll_ctl(int poll_fd, int operation, int fd, epoll_event* event) {
  static const auto real = Real<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_DEL) {
    HoldEnd(fd);
    if (fd >= 0 && fd < kMostDescriptors) accepted[fd] = false;
  }
  return real(poll_fd, operation, fd, event);
}

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = Real<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int port =
      address->sa_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port) : 0;
  return Fails("connect", port) ? -1 : real(fd, address, length);
}
