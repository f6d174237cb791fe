// Preloaded into a node under test: makes one system call fail for a while with an error that Linux documents
// for it. RYEGLADE_TEST_FAULT is "CALL:ERRNO:MILLISECONDS[:PORT]": CALL is accept4 or connect, the time
// counts from the first call that fails, and with PORT only calls to that port fail. With CALL "end" no call
// fails and ERRNO is ignored, but each shutdown or close of an accepted connection is delayed by that time,
// as on a busy machine. The library writes the number of calls that have failed or been delayed, as text, to
// the file that RYEGLADE_TEST_FAULT_COUNT names.
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
  std::string call;                       // "accept4", "connect" or "end"; empty: no fault
  int error = 0;                          // errno of the calls that fail
  std::chrono::milliseconds duration{0};  // of the time in which calls fail, or of each delay
  int port = 0;                           // 0 means any port
};

// The fault that RYEGLADE_TEST_FAULT configures; none if the variable is not set or malformed.
const Fault& ConfiguredFault() {
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
    f.duration = std::chrono::milliseconds(milliseconds);
    return f;
  }();
  return fault;
}

// Counts a call that fails or is delayed, and writes the count to the file.
void CountAffectedCall() {
  static int affected_calls = 0;
  ++affected_calls;
  const char* path = std::getenv("RYEGLADE_TEST_FAULT_COUNT");
  if (path == nullptr) return;
  const int fd = open(path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
  if (fd < 0) return;
  const std::string text = std::to_string(affected_calls);
  [[maybe_unused]] const ssize_t written = write(fd, text.data(), text.size());
  close(fd);
}

// Returns true if this call of `call` to `port` must fail. Then it has set errno and counted the call.
bool ShouldFail(const char* call, int port) {
  const Fault& fault = ConfiguredFault();
  if (fault.call != call || (fault.port != 0 && fault.port != port)) return false;
  static const Clock::time_point first_failure = Clock::now();
  if (Clock::now() - first_failure >= fault.duration) return false;
  CountAffectedCall();
  errno = fault.error;
  return true;
}

constexpr int kMaxDescriptors = 4096;
// Whether a descriptor is that of an accepted connection. Unsynchronised, because only one thread of a node
// under test uses sockets.
bool accepted[kMaxDescriptors];

// Delays the calling shutdown or close if `fd` is an accepted connection and the fault is "end".
void DelayClose(int fd) {
  if (fd < 0 || fd >= kMaxDescriptors || !accepted[fd] || ConfiguredFault().call != "end") return;
  CountAffectedCall();
  std::this_thread::sleep_for(ConfiguredFault().duration);
}

// Returns the function `name` that this library replaces.
template <class Function>
Function NextFunction(const char* name) {
  return reinterpret_cast<Function>(dlsym(RTLD_NEXT, name));
}

}  // namespace

extern "C" int accept4(int fd, sockaddr* address, socklen_t* length, int flags) {
  static const auto real = NextFunction<int (*)(int, sockaddr*, socklen_t*, int)>("accept4");
  if (ShouldFail("accept4", 0)) return -1;
  const int connection = real(fd, address, length, flags);
  if (connection >= 0 && connection < kMaxDescriptors) accepted[connection] = true;
  return connection;
}

extern "C" int shutdown(int fd, int how) {
  static const auto real = NextFunction<int (*)(int, int)>("shutdown");
  DelayClose(fd);
  return real(fd, how);
}

// libuv closes a descriptor by a call that a preloaded library can't intercept. Right before that it removes
// the descriptor from its poll set, so the delay is added here.
extern "C" int epoll_ctl(int poll_fd, int operation, int fd, epoll_event* event) {
  static const auto real = NextFunction<int (*)(int, int, int, epoll_event*)>("epoll_ctl");
  if (operation == EPOLL_CTL_DEL) {
    DelayClose(fd);
    if (fd >= 0 && fd < kMaxDescriptors) accepted[fd] = false;
  }
  return real(poll_fd, operation, fd, event);
}

extern "C" int connect(int fd, const sockaddr* address, socklen_t length) {
  static const auto real = NextFunction<int (*)(int, const sockaddr*, socklen_t)>("connect");
  const int port =
      address->sa_family == AF_INET ? ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port) : 0;
  return ShouldFail("connect", port) ? -1 : real(fd, address, length);
}
