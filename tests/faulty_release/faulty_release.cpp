// A release with a fault, for tests of rollouts: the whole program, with a wrapper around its HTTP parser
// (linked with --wrap) that injects the fault. The name by which the program is started selects the fault:
// harmful-fails (breaks streams), -crashes, -slow, -leaks, -deaf (ignores SIGTERM) or -mute (answers no poll
// for metrics). The product itself has no such hook.
#include <http_parser.h>
#include <signal.h>
#include <unistd.h>

#include <cstdlib>
#include <cstring>
#include <string>
#include <string_view>
#include <vector>

extern char* program_invocation_short_name;
extern "C" std::size_t __real_http_parser_execute(http_parser*, const http_parser_settings*, const char*,
                                                  std::size_t);

namespace {

constexpr int kCrashAtRequest = 50;
constexpr std::size_t kLeakBytesPerRequest = std::size_t{2} << 20;
constexpr useconds_t kResponseDelayUs = 30'000;

int requests = 0, streamed_responses = 0;

bool HasFault(const char* fault) { return std::strstr(program_invocation_short_name, fault) != nullptr; }

bool StartsWith(const char* data, std::size_t size, std::string_view prefix) {
  return size > prefix.size() && std::memcmp(data, prefix.data(), prefix.size()) == 0;
}

bool Contains(const char* data, std::size_t size, const char* text) {
  return std::string(data, size).find(text) != std::string::npos;
}

void LeakMemory() {
  static std::vector<char*> leaked;
  leaked.push_back(static_cast<char*>(std::malloc(kLeakBytesPerRequest)));
  std::memset(leaked.back(), 1, kLeakBytesPerRequest);
}

}  // namespace

extern "C" std::size_t __wrap_http_parser_execute(http_parser* parser, const http_parser_settings* settings,
                                                  const char* data, std::size_t size) {
  if (HasFault("-deaf")) signal(SIGTERM, SIG_IGN);
  if (parser->type == HTTP_REQUEST && StartsWith(data, size, "POST ")) {
    ++requests;
    if (HasFault("-crashes") && requests == kCrashAtRequest) abort();
    if (HasFault("-leaks")) LeakMemory();
  }
  const bool streamed_response = parser->type == HTTP_RESPONSE && StartsWith(data, size, "HTTP/1.1 200") &&
                                 Contains(data, size, "event-stream");
  if (streamed_response && HasFault("-slow")) usleep(kResponseDelayUs);
  // Every second stream breaks after it has begun: a later piece of some stream is reported as malformed.
  static int streams_to_break = 0;
  if (streamed_response && HasFault("-fails") && ++streamed_responses % 2 == 0) {
    ++streams_to_break;
  } else if (streams_to_break > 0 && parser->type == HTTP_RESPONSE && Contains(data, size, "data: {")) {
    --streams_to_break;
    parser->http_errno = HPE_INVALID_CHUNK_SIZE;
    return 0;
  }
  if (HasFault("-mute") && parser->type == HTTP_REQUEST && Contains(data, size, "/control/figures")) {
    parser->http_errno = HPE_INVALID_METHOD;
    return 0;
  }
  return __real_http_parser_execute(parser, settings, data, size);
}
