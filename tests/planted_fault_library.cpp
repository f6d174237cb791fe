// A library that is preloaded into a node under test and plants a fault into it, to test that the soak finds
// the fault. RYEGLADE_PLANTED names the fault, which happens at one in kWritesPerFault of the writes that it
// concerns:
//   resend  sends an attempt's bytes a second time, on a connection of their own
//   drop    does not write the last piece of an answer to its client
//   delay   writes a piece of an answer 0.4 s late, which delays everything else that the process writes
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <sys/uio.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>

namespace {

constexpr unsigned kWritesPerFault = 25;
constexpr useconds_t kDelayUs = 400'000;

// The name of the planted fault; empty if there is none.
std::string PlantedFault() {
  const char* text = std::getenv("RYEGLADE_PLANTED");
  return text == nullptr ? "" : text;
}

// Returns true at every kWritesPerFault-th call.
bool FaultIsDue() {
  static unsigned writes = 0;
  return ++writes % kWritesPerFault == 0;
}

bool StartsWith(const iovec& piece, const char* text) {
  const std::size_t n = std::strlen(text);
  return piece.iov_len >= n && std::memcmp(piece.iov_base, text, n) == 0;
}

// Returns true if the last piece ends with the last chunk of a chunked body.
bool EndsStream(const iovec* pieces, int count) {
  const iovec& last = pieces[count - 1];
  return last.iov_len >= 5 &&
         std::memcmp(static_cast<const char*>(last.iov_base) + last.iov_len - 5, "0\r\n\r\n", 5) == 0;
}

using WriteV = ssize_t (*)(int, const iovec*, int);
// The function writev that this library replaces.
WriteV RealWritev() {
  static const auto real = reinterpret_cast<WriteV>(dlsym(RTLD_NEXT, "writev"));
  return real;
}

// Sends the same bytes to the same peer on a new connection, which stays open.
void SendAgain(int fd, const std::string& bytes) {
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return;
  const int copy_fd = socket(peer.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (copy_fd < 0 || connect(copy_fd, reinterpret_cast<const sockaddr*>(&peer), length) != 0) return;
  [[maybe_unused]] const ssize_t written = send(copy_fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// The head of the attempt that this thread wrote last, until its body is written; the node writes the body in
// a separate call.
thread_local std::string head;

// Writes the pieces, with the planted fault if it is due.
ssize_t Write(int fd, const iovec* pieces, int count) {
  static const std::string fault = PlantedFault();
  std::size_t size = 0;
  for (int n = 0; n < count; ++n) size += pieces[n].iov_len;
  if (fault == "resend" && count > 0 && StartsWith(pieces[0], "POST ")) {
    head.assign(static_cast<const char*>(pieces[0].iov_base), pieces[0].iov_len);
  } else if (fault == "resend" && !head.empty()) {
    const std::string body(static_cast<const char*>(pieces[0].iov_base), pieces[0].iov_len);
    const ssize_t written = RealWritev()(fd, pieces, count);
    if (FaultIsDue()) SendAgain(fd, head + body);
    head.clear();
    return written;
  }
  if (fault == "drop" && count > 0 && EndsStream(pieces, count) && FaultIsDue())
    return static_cast<ssize_t>(size);
  if (fault == "delay" && count > 1 && !StartsWith(pieces[0], "POST ") && FaultIsDue()) usleep(kDelayUs);
  return RealWritev()(fd, pieces, count);
}

}  // namespace

extern "C" ssize_t writev(int fd, const iovec* pieces, int count) { return Write(fd, pieces, count); }

// libuv uses write instead of writev for a single piece.
extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = reinterpret_cast<ssize_t (*)(int, const void*, size_t)>(dlsym(RTLD_NEXT, "write"));
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  if (PlantedFault().empty() || getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0)
    return real(fd, bytes, size);
  const iovec piece{const_cast<void*>(bytes), size};
  return Write(fd, &piece, 1);
}
