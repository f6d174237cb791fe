// A release with a fault, for tests of rollouts: the whole program, with wrappers around its HTTP parsers
// (linked with --wrap) that inject the fault. The name by which the program is started selects the fault:
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

#include "core/response_parser.h"

extern char* program_invocation_short_name;
extern "C" std::size_t __real_http_parser_execute(http_parser*, const http_parser_settings*, const char*,
                                                  std::size_t);
// ResponseParser::Parse as the linker names it: it is called once for each read of a response.
bool RealParse(ryeglade::ResponseParser*, std::string_view, std::vector<std::string_view>*) asm(
    "__real__ZN8ryeglade14ResponseParser5ParseESt17basic_string_viewIcSt11char_traitsIcEEPSt6vectorIS4_SaIS4_"
    "EE");
bool WrappedParse(ryeglade::ResponseParser*, std::string_view, std::vector<std::string_view>*) asm(
    "__wrap__ZN8ryeglade14ResponseParser5ParseESt17basic_string_viewIcSt11char_traitsIcEEPSt6vectorIS4_SaIS4_"
    "EE");

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

bool BeginsStream(std::string_view bytes) {
  return bytes.starts_with("HTTP/1.1 200") && bytes.find("event-stream") != std::string_view::npos;
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
  if (HasFault("-mute") && parser->type == HTTP_REQUEST && Contains(data, size, "/control/figures")) {
    parser->http_errno = HPE_INVALID_METHOD;
    return 0;
  }
  return __real_http_parser_execute(parser, settings, data, size);
}

bool WrappedParse(ryeglade::ResponseParser* parser, std::string_view bytes,
                  std::vector<std::string_view>* body) {
  const bool begins_stream = BeginsStream(bytes);
  if (begins_stream && HasFault("-slow")) usleep(kResponseDelayUs);
  // Every second stream breaks after it has begun: a later piece of some stream is reported as malformed.
  static int streams_to_break = 0;
  if (begins_stream && HasFault("-fails") && ++streamed_responses % 2 == 0) {
    ++streams_to_break;
  } else if (streams_to_break > 0 && bytes.find("data: {") != std::string_view::npos) {
    --streams_to_break;
    return false;
  }
  return RealParse(parser, bytes, body);
}
