// A library that is preloaded into a node under test and plants a fault into it, to test that the soak finds
// the fault. RYEGLADE_PLANTED names the fault; each happens at one in kOneIn of the writes that it concerns:
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

constexpr unsigned kOneIn = 25;         // one in so many of the writes that a fault concerns
constexpr useconds_t kDelay = 400'000;  // microseconds

std::string Planted() {
  const char* text = std::getenv("RYEGLADE_PLANTED");
  return text == nullptr ? "" : text;
}

bool Now() {
  static unsigned n = 0;
  return ++n % kOneIn == 0;
}

bool StartsWith(const iovec& piece, const char* text) {
  const std::size_t n = std::strlen(text);
  return piece.iov_len >= n && std::memcmp(piece.iov_base, text, n) == 0;
}

bool EndsStream(const iovec* pieces, int count) {
  const iovec& last = pieces[count - 1];
  return last.iov_len >= 5 &&
         std::memcmp(static_cast<const char*>(last.iov_base) + last.iov_len - 5, "0\r\n\r\n", 5) == 0;
}

using WriteV = ssize_t (*)(int, const iovec*, int);
WriteV Real() {
  static const auto real = reinterpret_cast<WriteV>(dlsym(RTLD_NEXT, "writev"));
  return real;
}

// Sends the same bytes to the same peer on a new connection, which stays open.
void SendAgain(int fd, const std::string& bytes) {
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  if (getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0) return;
  const int again = socket(peer.ss_family, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (again < 0 || connect(again, reinterpret_cast<const sockaddr*>(&peer), length) != 0) return;
  [[maybe_unused]] const ssize_t written = send(again, bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

// The head of the attempt that this thread wrote last; the node writes the body in a separate call.
thread_local std::string head;

ssize_t Write(int fd, const iovec* pieces, int count) {
  static const std::string planted = Planted();
  std::size_t size = 0;
  for (int n = 0; n < count; ++n) size += pieces[n].iov_len;
  if (planted == "resend" && count > 0 && StartsWith(pieces[0], "POST ")) {
    head.assign(static_cast<const char*>(pieces[0].iov_base), pieces[0].iov_len);
  } else if (planted == "resend" && !head.empty()) {
    const std::string body(static_cast<const char*>(pieces[0].iov_base), pieces[0].iov_len);
    const ssize_t written = Real()(fd, pieces, count);
    if (Now()) SendAgain(fd, head + body);
    head.clear();
    return written;
  }
  if (planted == "drop" && count > 0 && EndsStream(pieces, count) && Now()) return static_cast<ssize_t>(size);
  if (planted == "delay" && count > 1 && !StartsWith(pieces[0], "POST ") && Now()) usleep(kDelay);
  return Real()(fd, pieces, count);
}

}  // namespace

extern "C" ssize_t writev(int fd, const iovec* pieces, int count) { return Write(fd, pieces, count); }

// libuv uses write instead of writev for a single piece.
extern "C" ssize_t write(int fd, const void* bytes, size_t size) {
  static const auto real = reinterpret_cast<ssize_t (*)(int, const void*, size_t)>(dlsym(RTLD_NEXT, "write"));
  sockaddr_storage peer{};
  socklen_t length = sizeof peer;
  if (Planted().empty() || getpeername(fd, reinterpret_cast<sockaddr*>(&peer), &length) != 0)
    return real(fd, bytes, size);
  const iovec piece{const_cast<void*>(bytes), size};
  return Write(fd, &piece, 1);
}
