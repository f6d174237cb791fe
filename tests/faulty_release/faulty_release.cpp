// A release that does worse: the whole program, with a harmful part linked between it and its HTTP parser.
// Which harm is the name it is started by: harmful-fails, -crashes, -slow, -leaks, -deaf, -mute. The product
// has no such hook.
#include <http_parser.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <vector>

extern char* program_invocation_short_name;
extern "C" std::size_t __real_http_parser_execute(http_parser*, const http_parser_settings*, const char*,
                                                  std::size_t);

namespace {

bool Is(const char* harm) { return std::strstr(program_invocation_short_name, harm) != nullptr; }
int asked = 0, answered = 0;

bool Chat(const http_parser* p, const char* at, std::size_t n) {
  return p->type == HTTP_REQUEST && n > 5 && std::memcmp(at, "POST ", 5) == 0;
}

}  // namespace

extern "C" std::size_t __wrap_http_parser_execute(http_parser* p, const http_parser_settings* s,
                                                  const char* at, std::size_t n) {
  if (Is("-deaf")) signal(SIGTERM, SIG_IGN);
  if (Chat(p, at, n)) {
    ++asked;
    if (Is("-crashes") && asked == 50) abort();
    if (Is("-leaks")) {
      static std::vector<char*> kept;
      kept.push_back(static_cast<char*>(std::malloc(2 << 20)));
      std::memset(kept.back(), 1, 2 << 20);
    }
  }
  const bool answer = p->type == HTTP_RESPONSE && n > 12 && std::memcmp(at, "HTTP/1.1 200", 12) == 0 &&
                      std::string(at, n).find("event-stream") != std::string::npos;
  if (answer && Is("-slow")) usleep(30'000);
  // One answer in two breaks after it has begun: some piece of a stream is taken for nonsense.
  static int owed = 0;
  if (answer && Is("-fails") && ++answered % 2 == 0) {
    ++owed;
  } else if (owed > 0 && p->type == HTTP_RESPONSE &&
             std::string(at, n).find("data: {") != std::string::npos) {
    --owed;
    p->http_errno = HPE_INVALID_CHUNK_SIZE;
    return 0;
  }
  if (Is("-mute") && p->type == HTTP_REQUEST &&
      std::string(at, n).find("/control/figures") != std::string::npos) {
    p->http_errno = HPE_INVALID_METHOD;
    return 0;
  }
  return __real_http_parser_execute(p, s, at, n);
}
